#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/outcome.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/overload/limit_policy.hpp"
#include "fescueridge/overload/rank.hpp"

namespace fescueridge
{

/// What an operator gives more weight to under overload (sheet setting `weigh`).
enum class weigh_goal : std::uint8_t
{
    goodput, ///< Short bursts may wait; waiting calls of low priority keep a small share.
    recovery ///< The queue empties as soon as possible after a surge.
};

/// A call that asks for a slot of the backend server.
struct waiting_call
{
    std::uint64_t id = 0; ///< Chosen by the caller of this class; unique while in use.
    priority rank;
    time_point arrival;
    time_point deadline;
    std::uint16_t fraction = 0; ///< root_fraction of its root.
    bool exclusive = false;     ///< Must run while no other call runs (quarantine).
    bool resend = false;        ///< Comes after new requests of its priority.
};

/// The call may start now and counts as running.
struct admitted_now
{
};

/// The call waits; finish, cancel or poll reports its start or its drop.
struct queued
{
};

/// The call is refused and did not run.
struct refused
{
    refusal_reason reason = refusal_reason::overload;
};

using offer_result = std::variant<admitted_now, queued, refused>;

/// A waiting call that was dropped and did not run.
struct dropped_call
{
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::overload;
};

/// What the caller has to do after a change of the queue.
struct queue_changes
{
    std::vector<std::uint64_t> start;  ///< Count as running from now on.
    std::vector<dropped_call> dropped; ///< Did not run and never will.
};

/// Result of an offer: the decision on the call itself and changes to other calls.
struct offer_outcome
{
    offer_result result;
    queue_changes changes;
};

/// What happened in the queue since the previous take_window.
struct queue_window
{
    std::uint32_t started = 0;
    std::uint32_t started_at_once = 0; ///< Found a free slot when they arrived.
    std::uint32_t finished = 0;
    std::array<std::uint32_t, priority_count> dropped{}; ///< For overload, by priority.
    microseconds mean_wait{0};                           ///< Of the calls that started.
    microseconds top_wait{0};     ///< Mean wait of started calls of priority 0.
    microseconds mean_service{0}; ///< Recent mean service time; 0 when unknown.
    microseconds wait_target{0};  ///< Bound of a standing queue.
    std::uint32_t peak_running = 0;
    std::uint32_t limit = 0;
    std::uint32_t waiting = 0;
};

/// Options of an admission queue.
struct admission_settings
{
    weigh_goal weigh = weigh_goal::goodput;
    std::uint32_t max_waiting = 0; ///< 0: eight times the limit, at least 64.
};

/// Priority queue and concurrency limit in front of one backend server. Waiting calls
/// start in order of root class, then arrival. Not thread safe: the owner calls it under
/// one lock.
class admission_queue
{
public:
    explicit admission_queue(limit_policy policy, admission_settings settings = {});

    /// Takes a call: starts it, queues it or refuses it. A full queue drops the newest
    /// call of the lowest root class, which may be the offered one (then `result` says
    /// so).
    offer_outcome offer(const waiting_call& call, time_point now);

    /// Ends a running call and fills its slot. `service_time` is the time at the backend
    /// server without the time that it waited for downstream calls. Failed calls count
    /// for the service time only when they took longer than usual (a timeout). Unknown
    /// ids change nothing.
    queue_changes finish(std::uint64_t id, microseconds service_time, bool success,
                         time_point now);

    /// Removes a call without a sample of its service time. A waiting call is forgotten
    /// (it is not reported as dropped); a running call frees its slot.
    queue_changes cancel(std::uint64_t id, time_point now);

    /// Drops calls that cannot meet their deadline or waited too long, and starts others
    /// when slots are free. Call it every 5 ms while calls wait.
    queue_changes poll(time_point now);

    /// Turns a waiting exclusive call into a normal one, after its suspicion was cleared.
    queue_changes make_normal(std::uint64_t id, time_point now);

    /// Empties the queue; every waiting call is dropped with this reason (drain, server
    /// death). Running calls stay until finish or cancel.
    queue_changes drop_all(refusal_reason reason);

    /// Takes over changed settings of the sheet.
    void configure(admission_settings settings);

    /// Replaces the limit, for example when a new server incarnation announced itself.
    void set_policy(limit_policy policy);

    /// Returns the statistics since the call before and starts a new window.
    queue_window take_window();

    std::size_t waiting() const noexcept;
    std::size_t running() const noexcept { return running_.size(); }
    std::uint32_t limit() const noexcept { return concurrency_of(policy_); }

    /// Returns the median of the recent service times; 0 when there is none yet.
    microseconds median_service() const noexcept { return median_; }

private:
    using lane = std::map<std::uint64_t, waiting_call>; // by order of arrival

    struct position
    {
        std::uint32_t lane = 0;
        std::uint64_t order = 0;
    };

    bool may_start(const waiting_call& call) const;
    bool meets_deadline(const waiting_call& call, time_point now) const;
    void start(const waiting_call& call, time_point now);
    void insert(const waiting_call& call);
    void erase(const position& where);
    void drop(const position& where, refusal_reason reason, queue_changes& changes);
    void drop_late(time_point now, queue_changes& changes);
    void drop_over(microseconds bound, std::uint32_t first_lane, std::size_t keep,
                   time_point now, queue_changes& changes);
    void update_standing(time_point now);
    void fill(time_point now, queue_changes& changes);
    bool fill_exclusive(time_point now, queue_changes& changes);
    bool holding_back() const noexcept;
    std::optional<position> next_call();
    std::optional<position> oldest_call() const;
    std::optional<position> newest_of_lowest() const;
    microseconds wait_target() const;
    microseconds burst_bound() const;
    std::size_t max_waiting() const;
    void record_service(microseconds service_time, time_point now);
    queue_changes settle(time_point now);

    limit_policy policy_;
    admission_settings settings_;
    std::array<lane, class_count + 1> lanes_; // the last one holds exclusive calls
    std::unordered_map<std::uint64_t, position> index_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_;
    std::unordered_map<std::uint64_t, bool> running_; // value: exclusive
    std::uint64_t next_order_ = 0;
    std::uint32_t dispatches_ = 0;
    std::uint32_t peak_since_sample_ = 0;

    std::vector<microseconds> samples_; // ring of recent service times
    std::size_t next_sample_ = 0;
    microseconds median_{0};
    double mean_service_us_ = 0;

    bool standing_ = false; // queue time stayed above the target for a whole interval
    std::optional<time_point> above_target_since_;

    bool exclusive_running_ = false;
    std::optional<time_point> hold_start_;
    time_point next_hold_{};

    queue_window window_;
    double wait_sum_us_ = 0;
    double top_wait_sum_us_ = 0;
    std::uint32_t top_started_ = 0;
};

} // namespace fescueridge
