#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge::gateway
{

using run_number = strong_type<std::uint64_t, struct run_number_tag>;

/// A request that asks for a slot of the backend server.
struct run_offer
{
    run_number number;
    route_name route;
    time_point deadline;            ///< Nobody waits for it any more after this.
    milliseconds target_latency{0}; ///< From its arrival.
    bool from_server = false;       ///< Part of a request that already runs elsewhere.
    priority rank;                  ///< Of the request of a client that it is part of.
};

struct run_started
{
};
struct run_waits
{
};
/// The request would wait too long, or cannot end in time.
struct run_turned_away
{
    bool no_time = false; ///< Its deadline is too near, on whatever server.
};
using offer_decision = std::variant<run_started, run_waits, run_turned_away>;

/// Requests that leave the queue.
struct queue_moves
{
    std::vector<run_number> start;
    std::vector<run_number> drop; ///< Never ran.
};

/// Limits the requests that run at a backend server at the same time, and holds back the
/// others for a short time.
///
/// Load that it answers: bursts over the capacity of a server that never answers a
/// request beyond its own queue. While both wait, requests of clients and calls of
/// running requests start by turns, so that neither holds up the other for long: an
/// overload of calls has a long queue, in which a client would always be late. Within
/// each kind, requests of a more important rank start first: a request with many calls in
/// sequence waits at each of them, so a short wait for all lets it fail although its rank
/// alone would fit into the slots. Within a rank, requests start in the order in which
/// their target latencies run out. A client's request is turned away as soon as its wait
/// would use up a third of its target latency, since another server or a return later
/// serves it better. A call of a request that already runs may wait as long as its
/// deadline allows, because turning it away wastes the work above it.
class run_queue
{
public:
    explicit run_queue(std::uint32_t limit) : limit_(limit) {}

    offer_decision offer(const run_offer& run, time_point now);

    /// Ends a running request. `slot_time` counts as a sample when `sample` is set.
    queue_moves finish(run_number number, time_point now, bool sample = true);

    /// Removes a waiting or running request without a sample.
    queue_moves cancel(run_number number, time_point now);

    /// Drops requests that waited too long or cannot end in time.
    queue_moves poll(time_point now);

    /// Drops all waiting requests.
    std::vector<run_number> drop_waiting();

    queue_moves set_limit(std::uint32_t limit, time_point now);

    std::uint32_t limit() const noexcept { return limit_; }
    std::uint32_t running() const noexcept
    {
        return static_cast<std::uint32_t>(running_.size());
    }
    std::uint32_t waiting() const noexcept
    {
        return static_cast<std::uint32_t>(clients_.size() + calls_.size());
    }

    /// Mean time in a slot, in milliseconds; 0 when nothing was measured.
    double slot_ms() const noexcept { return slot_ms_; }

    /// Mean time in a slot of one route; 0 when nothing was measured.
    double slot_ms(const route_name& route) const;

    /// Mean time in a slot of each route that was measured.
    const std::unordered_map<route_name, double>& slot_times() const noexcept
    {
        return slot_ms_by_route_;
    }

    /// Mean wait for a slot of late, each as a part of the request's target latency.
    double wait_share(time_point now) const;

private:
    struct waiting_run
    {
        run_offer offer;
        time_point arrival;
    };
    struct running_run
    {
        route_name route;
        time_point since;
    };
    struct order_key
    {
        priority rank;
        time_point due;
        std::uint64_t number = 0; ///< In the order of arrival.

        friend bool operator<(const order_key& a, const order_key& b)
        {
            return std::tie(a.rank, a.due, a.number) < std::tie(b.rank, b.due, b.number);
        }
    };
    using lane = std::map<order_key, waiting_run>;
    struct place
    {
        lane* in = nullptr;
        order_key key;
    };

    double expected_wait_ms(const run_offer& run, time_point now) const;
    double expected_slot_ms(const route_name& route) const;
    bool has_waited_too_long(const waiting_run& run, time_point now) const;
    void start(const run_offer& run, time_point arrival, time_point now);
    void fill(time_point now, queue_moves& moves);
    waiting_run take_next();
    void drop_late(lane& from, time_point now, queue_moves& moves);
    void record_wait(const run_offer& run, time_point arrival, time_point now);

    std::uint32_t limit_;
    std::uint64_t next_order_ = 0;
    lane clients_; ///< Waiting requests of clients.
    lane calls_;   ///< Waiting calls of running requests.
    bool client_is_next_ = true;
    std::unordered_map<run_number, place> places_;
    std::unordered_map<run_number, running_run> running_;
    std::unordered_map<route_name, double> slot_ms_by_route_;
    double slot_ms_ = 0;
    double wait_share_ = 0;
    time_point last_wait_{};
};

} // namespace fescueridge::gateway
