#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/events.hpp"
#include "fescueridge/gateway/decision_log.hpp"
#include "fescueridge/gateway/failure_share.hpp"
#include "fescueridge/gateway/settings.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace fescueridge::gateway
{

/// Another node and what it last told.
struct peer
{
    node_record record;
    link_ptr connection; ///< Null while there is no link.
    node_report_message report;
    time_point reported{};
    std::uint32_t sent_since_report = 0; ///< Requests sent since its load was told.
    std::uint32_t in_flight = 0;
    failure_share failures; ///< Of the requests that it ran for this node.
    time_point next_dial{};
    milliseconds dial_pause{0};
};

/// Result of a forwarded request; called exactly once.
using forward_callback = std::function<void(forward_reply_message)>;

/// Functions that peers calls on the io thread.
struct peer_callbacks
{
    /// A peer asks this node to run a request; the result goes back on the link.
    std::function<void(const link_ptr&, forward_message)> on_forward;
    std::function<void(const link_ptr&, const forward_cancel_message&)> on_cancel;
    std::function<void(const link_ptr&)> on_link_closed;
    std::function<void(const peer&)> on_report;
    std::function<void(const link_ptr&)> on_link_open;
    std::function<void(const link_ptr&, const config_pull_message&)> on_config_pull;
    std::function<void(const config_push_message&)> on_config_push;
    std::function<void(const suspect_message&)> on_suspect;
    /// A peer remembers this node's server from before a restart of this process.
    std::function<void(const server_record&)> on_own_server;
};

/// The other nodes: which there are, the links to them, their reports, and the requests
/// that are on their way to them. Used from one io thread.
class peers
{
public:
    peers(asio::io_context& io, const node_settings& settings, event_log& events,
          decision_log& decisions, peer_callbacks callbacks);
    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    /// Starts to listen. Throws address_error when the address cannot be used.
    void start();

    /// Takes where a node can be reached, from the log or from another node.
    void learn(const node_record& record);

    /// Forgets a node that said that it ends, unless it is linked.
    void forget(const node_id& node);

    /// Sends a request to a peer and returns its number, 0 when it was certainly not
    /// sent; `done` is then not called.
    std::uint64_t forward(const node_id& node, forward_message message,
                          forward_callback done);

    /// Tells the peer that the client has left. `done` of the request is not called.
    void cancel(std::uint64_t number);

    /// Tells whether the link to a peer is broken or may be.
    static bool is_doubtful(const peer& other);

    /// Sends a message to every linked peer.
    void broadcast(const link_message& message);

    /// Records whether a peer's server completed a request.
    void record_outcome(const node_id& node, bool failed);

    const std::map<node_id, peer>& all() const noexcept { return peers_; }
    std::size_t linked() const;

    /// Returns this node's own record, to publish.
    const node_record& self() const noexcept { return self_; }

    void close();

private:
    struct forwarded
    {
        node_id node;
        link_ptr connection;
        forward_callback done;
    };

    link_callbacks make_link_callbacks();
    void on_open(const link_ptr& opened, const hello_message& hello);
    void on_close(const link_ptr& closed);
    void on_message(const link_ptr& from, link_message message);
    void take_reply(const link_ptr& from, forward_reply_message reply);
    void take_report(const link_ptr& from, node_report_message report);
    void tell_own_server(const link_ptr& to, const peer& about);
    void dial_missing();
    void start_dialling();
    peer* find(const link_ptr& connection);

    asio::io_context& io_;
    const node_settings& settings_;
    event_log& events_;
    decision_log& decisions_;
    peer_callbacks callbacks_;
    node_record self_;
    asio::steady_timer dial_timer_;
    std::map<node_id, peer> peers_;
    std::unordered_map<std::uint64_t, forwarded> forwarded_;
    std::uint64_t next_number_ = 0;
    std::unique_ptr<link_hub> hub_;
    bool closed_ = false;
};

} // namespace fescueridge::gateway
