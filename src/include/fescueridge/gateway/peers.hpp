#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/events.hpp"
#include "fescueridge/gateway/decision_log.hpp"
#include "fescueridge/gateway/failure_rate.hpp"
#include "fescueridge/gateway/rank_scale.hpp"
#include "fescueridge/gateway/settings.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace fescueridge::gateway
{

/// Another node, its link and its last report.
struct peer
{
    node_record record;
    link_ptr connection; ///< Null while there is no link.
    node_report_message report;
    time_point report_time{};
    std::uint32_t sent_since_report = 0; ///< Requests sent since its load was received.
    std::uint32_t in_flight = 0;
    failure_rate failures; ///< Among the requests forwarded to it by this node.
    time_point next_dial{};
    milliseconds dial_pause{0};
};

/// Result of a forwarded request; called exactly once.
using forward_callback = std::function<void(forward_reply_message)>;

/// Functions called by `peers` on the io thread.
struct peer_callbacks
{
    /// A peer forwards a request to this node; the reply is sent on the link.
    std::function<void(const link_ptr&, forward_message)> on_forward;
    std::function<void(const link_ptr&, const forward_cancel_message&)> on_cancel;
    std::function<void(const link_ptr&, const forward_recall_message&)> on_recall;
    std::function<void(const link_ptr&)> on_link_closed;
    std::function<void(const peer&)> on_report;
    std::function<void(const link_ptr&)> on_link_open;
    std::function<void(const link_ptr&, const config_pull_message&)> on_config_pull;
    std::function<void(const config_push_message&)> on_config_push;
    std::function<void(const suspect_message&)> on_suspect;
    /// A peer reports the state of this node's server from before a restart of this
    /// process.
    std::function<void(const own_server_message&)> on_own_server;
    std::function<void(const link_ptr&, const quota_ask_message&)> on_quota_ask;
    std::function<void(const link_ptr&, const quota_grant_message&)> on_quota_grant;
};

/// Maintains the set of other nodes, the links to them, their reports and the requests
/// forwarded to them. Used from one io thread.
class peers
{
public:
    peers(asio::io_context& io, const node_settings& settings, event_log& events,
          decision_log& decisions, peer_callbacks callbacks);
    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    /// Starts to listen for links. Throws address_error when the address cannot be used.
    void start();

    /// Adds or updates the address of a node, as read from the log or received from
    /// another node.
    void update_node(const node_record& record);

    /// Removes a node that has withdrawn its record, unless it is linked.
    void remove_node(const node_id& node);

    /// Forwards a request to a peer and returns its number, or 0 when it was certainly
    /// not sent; `done` is then not called.
    std::uint64_t forward(const node_id& node, forward_message message,
                          forward_callback done);

    /// Cancels a forwarded request because its client has disconnected. Its `done` is not
    /// called.
    void cancel(std::uint64_t number);

    /// Takes a forwarded request back unless it was sent to the backend server. Its
    /// `done` is called as usual.
    void recall(std::uint64_t number);

    /// Returns whether the peer has no link, or its link owes a ping's answer or reports
    /// for so long that it may be broken.
    bool is_unresponsive(const peer& other) const;

    /// Sets how ranks are expressed for peers of the version before.
    void set_rank_scale(rank_scale scale) { scale_ = std::move(scale); }

    /// Sends a message to a peer if it is linked.
    void send(const node_id& node, const link_message& message);

    /// Sends a message to every linked peer.
    void broadcast(const link_message& message);

    /// Records whether a peer's server failed a request.
    void record_outcome(const node_id& node, bool failed);

    const std::map<node_id, peer>& all() const noexcept { return peers_; }
    std::size_t linked_count() const;

    /// Returns the bytes of messages that the links have sent and received.
    link_counters traffic() const { return hub_ ? hub_->counters() : link_counters{}; }

    /// Returns this node's record for publishing.
    const node_record& self() const noexcept { return self_; }

    void close();

private:
    struct forwarded_request
    {
        node_id node;
        link_ptr connection;
        forward_callback done;
    };

    link_callbacks make_link_callbacks();
    void on_open(const link_ptr& opened, const hello_message& hello);
    void on_close(const link_ptr& closed);
    void on_message(const link_ptr& from, link_message message);
    void on_reply(const link_ptr& from, forward_reply_message reply);
    void on_report(const link_ptr& from, node_report_message report);
    void send_server_record(const link_ptr& to, const peer& about);
    bool send_on(const link_ptr& connection, link_message message);
    void dial_unlinked_peers();
    void schedule_dialling();
    peer* find_peer(const link_ptr& connection);

    asio::io_context& io_;
    const node_settings& settings_;
    event_log& events_;
    decision_log& decisions_;
    peer_callbacks callbacks_;
    node_record self_;
    asio::steady_timer dial_timer_;
    std::map<node_id, peer> peers_;
    rank_scale scale_;
    std::unordered_map<std::uint64_t, forwarded_request> forwarded_requests_;
    std::uint64_t next_number_ = 0;
    std::unique_ptr<link_hub> hub_;
    bool closed_ = false;
};

} // namespace fescueridge::gateway
