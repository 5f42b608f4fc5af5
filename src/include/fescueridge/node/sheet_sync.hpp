#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "fescueridge/base/events.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/node/peer_table.hpp"
#include "fescueridge/node/sheet_holder.hpp"
#include "fescueridge/node/sheet_pulls.hpp"
#include "fescueridge/state/config_follower.hpp"

namespace fescueridge
{

/// Keeps the sheet in force up to date from the log and from peers, and decides when a
/// newly started node may serve calls. Thread safe.
class sheet_sync
{
public:
    using sender = std::function<void(const node_id&, link_message)>;

    /// If `log` is null, sheets are received from peers only. `on_change` is called after
    /// a new version is in force.
    sheet_sync(const node_id& self, const domain_name& domain, log_service* log,
               milliseconds log_retention, peer_table& peers, sheet_holder& sheets,
               event_log& events, sender send,
               std::function<void(sheet_version)> on_change);
    ~sheet_sync();

    /// Decides whether this node reads the log, and pulls a newer sheet from a peer that
    /// has one. Must be called every 200 ms.
    void tick();

    /// Handles the sheet version that a peer sent in its hello message.
    void on_peer_version(const node_id& peer, sheet_version version);

    /// Answers a pull with differences or the whole sheet, if this node has a newer one.
    void on_pull(const node_id& peer, const sheet_pull_message& pull);

    /// Handles a whole sheet received from a peer.
    void on_push(const sheet_push_message& push);

    /// Applies differences received from a peer, and forwards them to this node's
    /// children in the distribution tree of the failure domain. If their base version is
    /// missing, pulls from the peer.
    void on_delta(const node_id& peer, const sheet_delta_message& delta);

    /// Returns true if this node may serve calls with the sheet in force. A newly started
    /// node is not ready until it has read the log to its end or has waited for its
    /// peers' answers, and no live member has a higher version.
    bool ready() const;

    /// Returns the follower of the log, or null without a log.
    config_follower* follower() noexcept { return follower_.get(); }

    void stop();

private:
    // Time for the peers of the failure domain to answer a newly started node; see
    // section 6.1 of the design.
    static constexpr milliseconds peer_answer_wait{2000};
    // A longer list of steps is not forwarded; a child that misses more steps pulls them.
    static constexpr std::size_t max_forwarded_steps = 8;

    void offer(const sheet_in_force& sheet);
    void adopt(const sheet_in_force& sheet);
    void store_steps(const std::vector<sheet_step>& steps);
    void forward_steps(const std::vector<sheet_step>& steps,
                       sheet_version previous_version);
    void pull_if_overdue();
    void pull(const node_id& peer, sheet_version base_version);
    void update_log_following();
    link_message make_answer(sheet_version base_version, const sheet_snapshot& snapshot);
    bool compute_ready() const;

    const node_id self_;
    const domain_name domain_;
    peer_table& peers_;
    sheet_holder& sheets_;
    event_log& events_;
    const sender send_;
    const std::function<void(sheet_version)> on_change_;
    const time_point started_;
    std::atomic<bool> ready_{false};
    random_engine random_; ///< Used by tick() only.
    std::mutex mutex_;     ///< Guards history_, pull_scheduler_, answer_budget_.
    sheet_history history_;
    sheet_pull_scheduler pull_scheduler_;
    sheet_answer_budget answer_budget_;
    std::unique_ptr<config_follower> follower_;
};

} // namespace fescueridge
