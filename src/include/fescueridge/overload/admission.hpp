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

/// Goal of the admission queue under overload (sheet setting `weigh`).
enum class overload_goal : std::uint8_t
{
    goodput, ///< Queues short bursts; reserves a small share for low priorities.
    recovery ///< Empties the queue as soon as possible after a surge.
};

/// A call that requests a slot of the backend server.
struct waiting_call
{
    std::uint64_t id = 0; ///< Assigned by the owner of the queue; unique while in use.
    priority call_priority;
    time_point arrival;
    time_point deadline;
    std::uint16_t fraction = 0; ///< root_fraction of the call's root request.
    bool exclusive = false;     ///< Must not run beside other calls (quarantine).
    bool resend = false;        ///< Ordered after new requests of the same priority.
};

/// The call holds a slot and may start.
struct admitted_now
{
};

/// The call was queued. A later queue_changes reports that it started or was dropped.
struct queued
{
};

/// The call was refused without running.
struct refused
{
    refusal_reason reason = refusal_reason::overload;
};

using admission_decision = std::variant<admitted_now, queued, refused>;

/// A waiting call that was dropped without running.
struct dropped_call
{
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::overload;
};

/// Calls that left the queue during an operation.
struct queue_changes
{
    std::vector<std::uint64_t> started; ///< Ids of calls that now hold a slot.
    std::vector<dropped_call> dropped;  ///< Calls that were removed without running.
};

/// Result of an offer: the decision on the offered call and the changes to other calls.
struct offer_outcome
{
    admission_decision decision;
    queue_changes changes;
};

/// Queue statistics for the interval since the previous take_window.
struct queue_window
{
    std::uint32_t started = 0;
    std::uint32_t started_immediately = 0; ///< Calls that started on arrival.
    std::uint32_t finished = 0;
    std::array<std::uint32_t, priority_count> dropped{}; ///< Dropped calls by priority.
    microseconds mean_wait{0}; ///< Mean queueing delay of started calls.
    microseconds top_priority_mean_wait{
        0}; ///< Mean queueing delay of started priority 0 calls.
    microseconds mean_service_time{0}; ///< Recent mean service time; 0 when unknown.
    microseconds wait_target{0}; ///< Queueing delay above which a queue is standing.
    std::uint32_t peak_running = 0;
    std::uint32_t limit = 0;
    std::uint32_t waiting = 0;
};

/// Options of an admission queue.
struct admission_settings
{
    overload_goal weigh = overload_goal::goodput;
    std::uint32_t max_waiting = 0; ///< 0 selects eight times the limit, at least 64.
};

/// Priority queue with a concurrency limit in front of one backend server. Calls start in
/// order of root class, then arrival. Not thread safe: the owner serializes all calls.
class admission_queue
{
public:
    explicit admission_queue(limit_policy policy, admission_settings settings = {});

    /// Starts, queues or refuses a call. A full queue drops the newest call of the lowest
    /// root class. If that is the offered call, it is reported as refused.
    offer_outcome offer(const waiting_call& call, time_point now);

    /// Ends a running call and reassigns its slot. `service_time` is the time spent in
    /// the backend server, excluding waits for downstream calls. A failed call is sampled
    /// only if it took more than twice the median service time, as a timeout does.
    /// Unknown ids are ignored.
    queue_changes finish(std::uint64_t id, microseconds service_time, bool success,
                         time_point now);

    /// Removes a call without sampling its service time. A waiting call is not reported
    /// as dropped; a running call frees its slot.
    queue_changes cancel(std::uint64_t id, time_point now);

    /// Drops calls that cannot meet their deadline or exceeded the delay bound, and
    /// starts others in free slots. To be called every 5 ms while calls wait.
    queue_changes poll(time_point now);

    /// Removes the exclusive flag of a waiting call once its request is no longer
    /// suspected.
    queue_changes make_non_exclusive(std::uint64_t id, time_point now);

    /// Drops all waiting calls with the given reason, on drain or server death. Running
    /// calls keep their slots until finish or cancel.
    queue_changes drop_all(refusal_reason reason);

    /// Applies changed settings of the sheet.
    void configure(admission_settings settings);

    /// Replaces the limit policy, for example after a new server incarnation announced
    /// its slots.
    void set_policy(limit_policy policy);

    /// Returns the statistics of the current window and starts a new one.
    queue_window take_window();

    std::size_t waiting() const noexcept;
    std::size_t running() const noexcept { return running_.size(); }
    std::uint32_t limit() const noexcept { return concurrency_of(policy_); }

    /// Returns the median recent service time; 0 without samples.
    microseconds median_service_time() const noexcept { return median_service_time_; }

private:
    // Keyed by arrival sequence.
    using class_queue = std::map<std::uint64_t, waiting_call>;

    struct call_location
    {
        std::uint32_t queue_index = 0;
        std::uint64_t sequence = 0;
    };

    bool may_start(const waiting_call& call) const;
    bool meets_deadline(const waiting_call& call, time_point now) const;
    void start(const waiting_call& call, time_point now);
    void insert(const waiting_call& call);
    void erase(const call_location& location);
    void drop(const call_location& location, refusal_reason reason,
              queue_changes& changes);
    void drop_overdue(time_point now, queue_changes& changes);
    void drop_older_than(microseconds bound, std::uint32_t first_queue,
                         std::size_t min_waiting, time_point now, queue_changes& changes);
    void update_standing(time_point now);
    void start_waiting_calls(time_point now, queue_changes& changes);
    bool start_exclusive_call(time_point now, queue_changes& changes);
    bool normal_calls_blocked() const noexcept;
    std::optional<call_location> next_call();
    std::optional<call_location> oldest_call() const;
    std::optional<call_location> newest_of_lowest_class() const;
    microseconds wait_target() const;
    microseconds burst_wait_bound() const;
    std::size_t max_waiting() const;
    void record_service_time(microseconds service_time, time_point now);
    queue_changes drop_and_start(time_point now);

    limit_policy policy_;
    admission_settings settings_;
    // One queue per root class, and the last one for exclusive calls.
    std::array<class_queue, class_count + 1> class_queues_;
    std::unordered_map<std::uint64_t, call_location> waiting_index_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_;
    std::unordered_map<std::uint64_t, bool> running_; // call id to exclusive flag
    std::uint64_t next_sequence_ = 0;
    std::uint32_t dispatch_count_ = 0;
    std::uint32_t peak_since_sample_ = 0;

    std::vector<microseconds> service_times_; // ring buffer of recent service times
    std::size_t next_service_time_ = 0;
    microseconds median_service_time_{0};
    double mean_service_us_ = 0;

    bool standing_ = false; // queueing delay exceeded the target for a whole interval
    std::optional<time_point> above_target_since_;

    bool exclusive_running_ = false;
    std::optional<time_point> hold_start_;
    time_point next_hold_start_{};

    queue_window window_;
    double wait_sum_us_ = 0;
    double top_priority_wait_sum_us_ = 0;
    std::uint32_t top_priority_started_ = 0;
};

} // namespace fescueridge
