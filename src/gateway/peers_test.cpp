#include <criterion/criterion.h>

#include <asio/io_context.hpp>

#include "fescueridge/gateway/peers.hpp"
#include "wide_values.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const request_rank important{routing_priority(12)};
const request_rank unimportant{routing_priority(4'000)};

routing_config make_config()
{
    routing_config config;
    for (const auto& rank : {important, unimportant})
    {
        config.routes.emplace_back();
        config.routes.back().rank = rank.route;
    }
    return config;
}

forward_message make_forward(const request_rank& rank)
{
    forward_message message;
    message.rank = rank;
    message.method = "GET";
    message.time_left = milliseconds{86'400'000};
    return message;
}

/// A node with a link to a peer that states a revision and keeps what it receives.
class linked_node
{
public:
    explicit linked_node(link_revision revision)
        : events_(node_id("a"), incarnation(1)), decisions_(io_, node_id("a")),
          hub_(
              io_, {"127.0.0.1", 0},
              [revision]
              {
                  return hello_message{node_id("b"), incarnation(1), domain_name("d"),
                                       state_revision(revision)};
              },
              events_, hub_callbacks()),
          node_(io_, settings(), events_, decisions_, node_callbacks())
    {
        events_.echo(false);
        node_.set_rank_scale(rank_scale(make_config()));
        node_.start();
        node_.update_node({node_id("b"), 1, domain_name("d"), hub_.bound()});
        cr_assert(run_until([this] { return link_ && node_.linked_count() == 1; }));
    }

    /// Returns the ranks that the peer is sent with requests of these ranks.
    std::vector<request_rank> send(const std::vector<request_rank>& ranks)
    {
        for (const auto& rank : ranks)
            node_.forward(node_id("b"), make_forward(rank), [](forward_reply_message) {});
        cr_assert(run_until([&] { return at_peer_.size() == ranks.size(); }));
        return at_peer_;
    }

    /// Returns the ranks of the peer's requests, as the node reads them.
    std::vector<request_rank> receive(const std::vector<request_rank>& ranks)
    {
        for (const auto& rank : ranks)
            link_->send(make_forward(rank));
        cr_assert(run_until([&] { return at_node_.size() == ranks.size(); }));
        return at_node_;
    }

private:
    static node_settings settings()
    {
        node_settings settings;
        settings.node = node_id("a");
        settings.listen_link = {"127.0.0.1", 0};
        settings.advertised_link = {"127.0.0.1", 1};
        return settings;
    }

    link_callbacks hub_callbacks()
    {
        link_callbacks callbacks;
        callbacks.on_open = [this](const link_ptr& opened, const hello_message&)
        {
            link_ = opened;
        };
        callbacks.on_message = [this](const link_ptr&, const link_message& message)
        {
            if (const auto* forward = std::get_if<forward_message>(&message))
                at_peer_.push_back(forward->rank);
        };
        return callbacks;
    }

    peer_callbacks node_callbacks()
    {
        peer_callbacks callbacks;
        callbacks.on_link_open = [](const link_ptr&) {
        };
        callbacks.on_link_closed = [](const link_ptr&) {
        };
        callbacks.on_forward = [this](const link_ptr&, const forward_message& message)
        {
            at_node_.push_back(message.rank);
        };
        return callbacks;
    }

    template <class Condition>
    bool run_until(const Condition& holds)
    {
        constexpr milliseconds longest{5'000};
        const auto end = clock::now() + longest;
        while (!holds() && clock::now() < end)
            io_.run_for(milliseconds{10});
        return holds();
    }

    asio::io_context io_;
    event_log events_;
    decision_log decisions_;
    link_ptr link_;
    std::vector<request_rank> at_peer_;
    std::vector<request_rank> at_node_;
    link_hub hub_;
    peers node_;
};

} // namespace

// Guards against a fleet under update in which a node of the version before closes its
// links because of a rank, or takes two priorities for equal.
Test(peers, express_ranks_for_a_peer_of_the_version_before)
{
    linked_node node(link_revision::compact_values);
    const auto sent = node.send({important, unimportant});
    cr_expect(is_compact(sent[0]) && is_compact(sent[1]));
    cr_expect(sent[0] < sent[1]);
    const auto read = node.receive(sent);
    cr_expect(read[0] == important);
    cr_expect(read[1] == unimportant);
}

Test(peers, keep_ranks_whole_for_a_peer_that_reads_them)
{
    linked_node node(link_revision::wide_values);
    const std::vector<request_rank> ranks{important, unimportant};
    cr_expect(node.send(ranks) == ranks);
    cr_expect(node.receive(ranks) == ranks);
}
