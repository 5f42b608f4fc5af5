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
/// fresh node may serve. Thread safe.
class sheet_sync
{
public:
    using sender = std::function<void(const node_id&, link_message)>;

    /// `log` may be null: then sheets come from peers only. `on_change` is called after a
    /// new version is in force.
    sheet_sync(const node_id& self, const domain_name& domain, log_service* log,
               milliseconds log_retention, peer_table& peers, sheet_holder& sheets,
               event_log& events, sender send,
               std::function<void(sheet_version)> on_change);
    ~sheet_sync();

    /// Chooses whether this node reads the log, and pulls a newer sheet from a peer that
    /// has one; to be called every 200 ms.
    void tick();

    /// A peer named its version in a hello.
    void on_peer_version(const node_id& peer, sheet_version version);

    /// Answers a pull with differences or the sheet, if this node has a newer one.
    void on_pull(const node_id& peer, const sheet_pull_message& pull);

    /// Takes a sheet from a peer.
    void on_push(const sheet_push_message& push);

    /// Applies differences, and passes them on to the nodes below this one in the tree of
    /// the failure domain. Asks the peer for more if the base is missing.
    void on_delta(const node_id& peer, const sheet_delta_message& delta);

    /// Returns true if this node may serve calls by the sheet it has. A fresh node waits
    /// until it has read the log to its end, or for the highest version of its failure
    /// domain.
    bool ready() const;

    /// Returns the follower of the log; null without a log.
    config_follower* follower() noexcept { return follower_.get(); }

    void stop();

private:
    // Time in which the peers of the failure domain answer a fresh node; see section 6.1
    // of the design.
    static constexpr milliseconds peer_answer_time{2000};
    // A node below that misses more asks for them; a long list is not sent unasked.
    static constexpr std::size_t max_passed_on = 8;

    void take(const sheet_in_force& sheet);
    void adopt(const sheet_in_force& sheet);
    void keep_steps(const std::vector<sheet_step>& steps);
    void pass_on(const std::vector<sheet_step>& steps, sheet_version before);
    void pull_if_overdue();
    void pull(const node_id& peer, sheet_version have);
    void update_following();
    link_message answer_to(sheet_version have, const sheet_snapshot& snapshot);
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
    std::mutex mutex_;     ///< Guards what follows, up to the follower.
    sheet_history history_;
    sheet_puller puller_;
    sheet_answer_budget answers_;
    std::unique_ptr<config_follower> follower_;
};

} // namespace fescueridge
