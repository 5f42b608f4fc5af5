#include "fescueridge/gateway/peers.hpp"

#include <algorithm>

#include "fescueridge/base/overloaded.hpp"
#include "fescueridge/gateway/freshness.hpp"
#include "fescueridge/gateway/report_schedule.hpp"
#include "wide_values.hpp"

namespace fescueridge::gateway
{
namespace
{

constexpr milliseconds dial_interval{100};
constexpr milliseconds min_dial_pause{200};
constexpr milliseconds max_dial_pause{2'000};

/// Delay before the node with the higher name dials. It prevents two nodes that discover
/// each other at the same time from opening two links.
constexpr milliseconds higher_name_dial_delay{300};

/// Heartbeat intervals and timeouts of the links. The reports show that an idle link
/// works, so it is pinged only when one is late.
constexpr link_options link_heartbeat{milliseconds{200}, freshness::max_link_silence,
                                      milliseconds{1'000},
                                      report_schedule::max_interval + milliseconds{50}};

forward_reply_message link_lost_reply(std::uint64_t number)
{
    forward_reply_message reply;
    reply.number = number;
    reply.result = forward_result::unknown;
    reply.failure = forward_failure::link_lost;
    return reply;
}

} // namespace

peers::peers(asio::io_context& io, const node_settings& settings, event_log& events,
             decision_log& decisions, peer_callbacks callbacks)
    : io_(io), settings_(settings), events_(events), decisions_(decisions),
      callbacks_(std::move(callbacks)), dial_timer_(io)
{
    self_.node = settings.node;
    self_.started_ms = wall_clock_ms();
    self_.domain = settings.domain;
    self_.link = settings.advertised_link;
}

peers::~peers()
{
    close();
}

void peers::start()
{
    const auto hello = [this]
    {
        return hello_message{self_.node,
                             incarnation(static_cast<std::uint64_t>(self_.started_ms)),
                             self_.domain, state_revision(link_revision::wide_values)};
    };
    auto options = link_heartbeat;
    options.max_waiting_bytes = settings_.process.link_bytes();
    hub_ = std::make_unique<link_hub>(io_, settings_.listen_link, hello, events_,
                                      make_link_callbacks(), options);
    schedule_dialling();
}

void peers::close()
{
    closed_ = true;
    dial_timer_.cancel();
    if (hub_)
        hub_->close();
}

link_callbacks peers::make_link_callbacks()
{
    link_callbacks callbacks;
    callbacks.on_open = [this](const link_ptr& opened, const hello_message& hello)
    {
        on_open(opened, hello);
    };
    callbacks.on_close = [this](const link_ptr& closed)
    {
        on_close(closed);
    };
    callbacks.on_message = [this](const link_ptr& from, link_message message)
    {
        on_message(from, std::move(message));
    };
    callbacks.on_fault = [this](const link_fault& fault)
    {
        if (fault.kind != link_fault_kind::connect_failed)
            decisions_.record(log_event::link_fault,
                              {{"cause", std::string(to_string(fault.kind))},
                               {"remote", to_string(fault.remote)},
                               {"detail", fault.detail}});
    };
    return callbacks;
}

void peers::update_node(const node_record& record)
{
    if (record.node == self_.node || record.node.get().empty())
        return;
    auto [found, added] = peers_.try_emplace(record.node);
    peer& known_peer = found->second;
    if (!added && record.started_ms <= known_peer.record.started_ms)
        return;
    known_peer.record = record;
    known_peer.dial_pause = milliseconds{0};
    const auto now = clock::now();
    known_peer.next_dial = self_.node < record.node ? now : now + higher_name_dial_delay;
}

void peers::remove_node(const node_id& node)
{
    const auto found = peers_.find(node);
    if (found != peers_.end() && !found->second.connection)
        peers_.erase(found);
}

std::size_t peers::linked_count() const
{
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [](const auto& entry) { return entry.second.connection != nullptr; }));
}

peer* peers::find_peer(const link_ptr& connection)
{
    const auto found = peers_.find(connection->peer().node);
    return found == peers_.end() ? nullptr : &found->second;
}

void peers::on_open(const link_ptr& opened, const hello_message& hello)
{
    peer& known_peer = peers_[hello.node];
    if (known_peer.record.node != hello.node)
    {
        known_peer.record.node = hello.node;
        known_peer.record.domain = hello.domain;
    }
    const bool first = !known_peer.connection;
    if (first)
    {
        known_peer.connection = opened;
        known_peer.dial_pause = milliseconds{0};
        known_peer.in_flight = 0;
    }
    known_nodes_message nodes;
    nodes.nodes.push_back(self_);
    for (const auto& [node, other] : peers_)
        if (other.record.link.port != 0)
            nodes.nodes.push_back(other.record);
    opened->send(nodes);
    // A new process may open its first link while that of its predecessor is still held.
    send_server_record(opened, known_peer);
    if (!first)
        return;
    decisions_.record(log_event::peer_connected, {{"peer", hello.node.get()}});
    callbacks_.on_link_open(opened);
}

// A restarted process has lost the announcements that its predecessor acknowledged, so
// the peer sends them back.
void peers::send_server_record(const link_ptr& to, const peer& about)
{
    if (!about.report.server)
        return;
    to->send(own_server_message{*about.report.server, about.report.max_rate});
}

void peers::on_close(const link_ptr& closed)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [number, entry] : forwarded_requests_)
        if (entry.connection == closed)
            lost.push_back(number);
    if (peer* known_peer = find_peer(closed);
        known_peer && known_peer->connection == closed)
    {
        known_peer->connection = hub_->find(closed->peer().node);
        known_peer->in_flight = 0;
        const auto now = clock::now();
        known_peer->next_dial = now;
        decisions_.record(
            log_event::peer_lost,
            {{"peer", closed->peer().node.get()},
             {"requests_lost", static_cast<std::int64_t>(lost.size())},
             {"report_age_ms",
              static_cast<std::int64_t>((now - known_peer->report_time).count())}});
    }
    callbacks_.on_link_closed(closed);
    for (const std::uint64_t number : lost)
        on_reply(closed, link_lost_reply(number));
}

void peers::on_message(const link_ptr& from, link_message message)
{
    if (!reads_wide_values(from->peer()))
        message = with_expanded_values(std::move(message), scale_);
    std::visit(
        overloaded{[&](forward_message& m) { callbacks_.on_forward(from, std::move(m)); },
                   [&](forward_reply_message& m) { on_reply(from, std::move(m)); },
                   [&](forward_cancel_message& m) { callbacks_.on_cancel(from, m); },
                   [&](forward_recall_message& m) { callbacks_.on_recall(from, m); },
                   [&](node_report_message& m) { on_report(from, std::move(m)); },
                   [&](config_pull_message& m) { callbacks_.on_config_pull(from, m); },
                   [&](config_push_message& m) { callbacks_.on_config_push(m); },
                   [&](suspect_message& m) { callbacks_.on_suspect(m); },
                   [&](own_server_message& m) { callbacks_.on_own_server(m); },
                   [&](quota_ask_message& m) { callbacks_.on_quota_ask(from, m); },
                   [&](quota_grant_message& m) { callbacks_.on_quota_grant(from, m); },
                   [&](known_nodes_message& m)
                   {
                       for (const auto& node : m.nodes)
                           update_node(node);
                   },
                   [](auto&)
                   {
                       // Other messages are exchanged only between nodes with the sheet;
                       // a gateway never receives them.
                   }},
        message);
}

void peers::on_report(const link_ptr& from, node_report_message report)
{
    peer* known_peer = find_peer(from);
    if (!known_peer)
        return;
    if (!report.with_learned)
    {
        report.slot_times = std::move(known_peer->report.slot_times);
        report.calls = std::move(known_peer->report.calls);
    }
    known_peer->report = std::move(report);
    known_peer->report_time = clock::now();
    known_peer->sent_since_report = 0;
    callbacks_.on_report(*known_peer);
}

std::uint64_t peers::forward(const node_id& node, forward_message message,
                             forward_callback done)
{
    const auto found = peers_.find(node);
    if (found == peers_.end() || !found->second.connection)
        return 0;
    peer& to = found->second;
    message.number = ++next_number_;
    const auto time_left = message.time_left;
    if (!send_on(to.connection, std::move(message)))
        return 0;
    to.connection->expect_reply(time_left);
    ++to.in_flight;
    ++to.sent_since_report;
    forwarded_requests_.emplace(next_number_,
                                forwarded_request{node, to.connection, std::move(done)});
    return next_number_;
}

void peers::on_reply(const link_ptr& from, forward_reply_message reply)
{
    const auto found = forwarded_requests_.find(reply.number);
    // Ignore late replies to cancelled requests.
    if (found == forwarded_requests_.end() || found->second.connection != from)
        return;
    const auto done = std::move(found->second.done);
    const auto node = found->second.node;
    forwarded_requests_.erase(found);
    if (const auto known_peer = peers_.find(node); known_peer != peers_.end())
    {
        peer& answering_peer = known_peer->second;
        if (answering_peer.in_flight > 0)
            --answering_peer.in_flight;
        if (reply.failure != forward_failure::link_lost)
        {
            answering_peer.report.load = reply.load;
            answering_peer.sent_since_report = 0;
        }
    }
    done(std::move(reply));
}

void peers::cancel(std::uint64_t number)
{
    const auto found = forwarded_requests_.find(number);
    if (found == forwarded_requests_.end())
        return;
    found->second.connection->send(forward_cancel_message{number});
    if (const auto known_peer = peers_.find(found->second.node);
        known_peer != peers_.end() && known_peer->second.in_flight > 0)
        --known_peer->second.in_flight;
    forwarded_requests_.erase(found);
}

void peers::recall(std::uint64_t number)
{
    const auto found = forwarded_requests_.find(number);
    if (found != forwarded_requests_.end())
        found->second.connection->send(forward_recall_message{number});
}

bool peers::is_unresponsive(const peer& other) const
{
    const auto report_interval = report_schedule::interval(peers_.size());
    return !other.connection ||
           other.connection->unanswered_for() > freshness::max_unanswered_ping ||
           other.connection->silent_for() >
               freshness::max_responsive_silence(report_interval);
}

void peers::send(const node_id& node, const link_message& message)
{
    const auto found = peers_.find(node);
    if (found != peers_.end() && found->second.connection)
        send_on(found->second.connection, message);
}

bool peers::send_on(const link_ptr& connection, link_message message)
{
    if (!reads_wide_values(connection->peer()))
        message = with_compact_values(std::move(message), scale_);
    return connection->send(message);
}

void peers::broadcast(const link_message& message)
{
    const auto encoded = hub_->encode(message);
    std::optional<encoded_message> compact;
    for (const auto& [node, other] : peers_)
    {
        if (!other.connection)
            continue;
        const bool wide = reads_wide_values(other.connection->peer());
        if (!wide && !compact)
            compact = hub_->encode(with_compact_values(message, scale_));
        other.connection->send_encoded(wide ? encoded : *compact);
    }
}

void peers::record_outcome(const node_id& node, bool failed)
{
    const auto found = peers_.find(node);
    if (found != peers_.end())
        found->second.failures.record(failed);
}

void peers::schedule_dialling()
{
    dial_timer_.expires_after(dial_interval);
    dial_timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec || closed_)
                return;
            dial_unlinked_peers();
            schedule_dialling();
        });
}

void peers::dial_unlinked_peers()
{
    const auto now = clock::now();
    for (auto& [node, other] : peers_)
    {
        if (other.connection || other.record.link.port == 0 || now < other.next_dial)
            continue;
        other.dial_pause =
            std::clamp(2 * other.dial_pause, min_dial_pause, max_dial_pause);
        other.next_dial = now + other.dial_pause;
        hub_->dial(other.record.link);
    }
}

} // namespace fescueridge::gateway
