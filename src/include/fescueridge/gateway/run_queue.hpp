#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/cost_estimator.hpp"
#include "fescueridge/overload/limits.hpp"

namespace fescueridge::gateway
{

using run_number = strong_type<std::uint64_t, struct run_number_tag>;

/// A request offered to the queue for a slot of the backend server.
struct run_offer
{
    run_number number;
    route_name route;
    time_point deadline;            ///< The caller stops waiting at this time.
    milliseconds target_latency{0}; ///< Measured from its arrival.
    bool from_server = false;       ///< Call of a request that already runs elsewhere.
    request_rank rank;              ///< Of the client request that it is part of.
    size_class size{};              ///< Of its body.
};

/// Time that the requests at a server are still likely to need, in milliseconds.
struct remaining_work
{
    double running_ms = 0;
    double waiting_ms = 0;
};

struct run_started
{
};
struct run_queued
{
};
/// The request would wait too long, or cannot complete in time.
struct run_rejected
{
    bool deadline_too_near = false; ///< Its deadline is too near to be met by any server.
};
using offer_decision = std::variant<run_started, run_queued, run_rejected>;

/// Requests that left the queue and must be started or dropped by the caller.
struct dequeued_runs
{
    std::vector<run_number> to_start;
    std::vector<run_number> to_drop; ///< Not run.
};

/// Limits the number of requests that run concurrently at a backend server, and queues
/// further requests for a short time. This absorbs bursts above the capacity of a server
/// that never answers requests beyond its own queue.
///
/// - Client requests and calls of running requests have separate queues that are served
///   alternately while both are nonempty. In one shared queue, an overload of calls
///   would make every client request late.
/// - Within each queue, requests start in order of priority. A request with many
///   sequential calls waits at each of them. With equal waits for all priorities it would
///   fail even when the requests of its priority alone fit into the slots.
/// - Within a priority, the request whose target latency expires first starts first.
/// - A client request is rejected as soon as its expected wait exceeds a third of its
///   target latency, because another server or a later client retry serves it better.
/// - A server may limit the rate of its requests. Requests above the rate wait in the
///   same queues. Unused requests are saved up for a tenth of a second only.
/// - A call of a running request may wait as long as its deadline permits, because
///   rejecting it wastes the work already done by its callers.
class run_queue
{
public:
    explicit run_queue(std::uint32_t limit) : limit_(limit) {}

    offer_decision offer(const run_offer& run, time_point now);

    /// Ends a running request. Its slot time is added to the means when `sample` is set.
    dequeued_runs finish(run_number number, time_point now, bool sample = true);

    /// Leaves the slot times of all running requests out of the means, because this
    /// process was paused while they ran.
    void skip_samples();

    /// Removes a waiting or running request without recording its slot time.
    dequeued_runs cancel(run_number number, time_point now);

    /// Drops requests that have waited too long or cannot complete in time.
    dequeued_runs poll(time_point now);

    /// Drops all waiting requests.
    std::vector<run_number> drop_waiting();

    dequeued_runs set_limit(std::uint32_t limit, time_point now);

    /// Limits the requests started per second; null for no limit.
    dequeued_runs set_max_rate(std::optional<call_rate> rate, time_point now);

    std::optional<call_rate> max_rate() const;

    /// Number of requests that could not start at once because of the rate alone.
    std::uint64_t delayed_by_rate() const noexcept { return delayed_by_rate_; }

    std::uint32_t limit() const noexcept { return limit_; }

    /// Returns the number of requests that run concurrently when the server is fully
    /// used: the limit, or less when the rate permits less.
    std::uint32_t usable_limit() const;
    std::uint32_t running() const noexcept
    {
        return static_cast<std::uint32_t>(running_.size());
    }
    std::uint32_t waiting() const noexcept
    {
        return static_cast<std::uint32_t>(clients_.size() + calls_.size());
    }

    /// Moving average of the slot time, in milliseconds; 0 when nothing was measured.
    double slot_ms() const noexcept { return costs_.mean_ms(); }

    /// Moving average of the slot time of one route, in milliseconds; 0 when nothing was
    /// measured.
    double slot_ms(const route_name& route) const { return costs_.mean_ms(route); }

    /// Moving averages of the slot times of the routes measured of late, in milliseconds.
    std::unordered_map<route_name, double> slot_times(time_point now) const
    {
        return costs_.recent_means(now);
    }

    /// Returns what the running and waiting requests are still likely to need.
    remaining_work work(time_point now) const;

    /// Moving average of the wait for a slot as a fraction of the target latency.
    double wait_share(time_point now) const;

private:
    struct waiting_run
    {
        run_offer offer;
        time_point arrival;
        double expected_ms = 0; ///< Its likely slot time, as of its arrival.
    };
    struct running_run
    {
        route_name route;
        size_class size;
        time_point since;
        bool sampled = true; ///< Its slot time counts for the means.
    };
    struct order_key
    {
        request_rank rank;
        time_point target_time;
        std::uint64_t number = 0; ///< Ascending in order of arrival.

        friend bool operator<(const order_key& a, const order_key& b)
        {
            return std::tie(a.rank, a.target_time, a.number) <
                   std::tie(b.rank, b.target_time, b.number);
        }
    };
    using waiting_queue = std::map<order_key, waiting_run>;
    struct queue_position
    {
        waiting_queue* queue = nullptr;
        order_key key;
    };

    double expected_wait_ms(const run_offer& run, time_point now) const;
    double expected_slot_ms(const run_offer& run) const;
    double mean_waiting_ms() const;
    void forget_waiting(const waiting_run& run);
    bool is_expired(const waiting_run& run, time_point now) const;
    bool rate_permits_start(time_point now);
    void start_run(const run_offer& run, time_point arrival, time_point now);
    void start_waiting(time_point now, dequeued_runs& dequeued);
    waiting_run pop_next();
    void drop_expired(waiting_queue& from, time_point now, dequeued_runs& dequeued);
    void record_wait(const run_offer& run, time_point arrival, time_point now);

    std::uint32_t limit_;
    std::optional<token_bucket> rate_;
    std::uint64_t delayed_by_rate_ = 0;
    std::uint64_t next_order_ = 0;
    waiting_queue clients_; ///< Client requests.
    waiting_queue calls_;   ///< Calls of running requests.
    double waiting_ms_ = 0; ///< Sum of the likely slot times of both queues.
    bool client_is_next_ = true;
    std::unordered_map<run_number, queue_position> positions_;
    std::unordered_map<run_number, running_run> running_;
    cost_estimator costs_;
    double wait_share_ = 0;
    time_point last_wait_sample_{};
};

} // namespace fescueridge::gateway
