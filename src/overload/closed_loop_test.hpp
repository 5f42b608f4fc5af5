#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/overload/admission.hpp"
#include "fescueridge/overload/pressure.hpp"

namespace fescueridge::test
{

/// Parameters of a simulation of one admission queue.
struct simulation_settings
{
    std::uint32_t slots = 25;
    double service_ms = 10;
    /// Share of priority 0 in the load up to the capacity (1.0).
    double top_priority_share = 0.1;
    bool constant_service_time = false;
    bool refuse_at_root = true; ///< The caller refuses calls by the levels of replies.
    overload_goal weigh = overload_goal::goodput;
    std::int64_t duration_ms = 20'000;
    std::int64_t count_from_ms = 2'000;
    std::int64_t count_to_ms = 18'000; ///< Before the end, so that counted calls can end.
    std::uint64_t seed = 1;
    milliseconds timeout{1'000};
    std::function<double(std::int64_t)> load = [](std::int64_t)
    {
        return 1.0;
    };
    std::function<double(std::int64_t)> slowdown_factor = [](std::int64_t)
    {
        return 1.0;
    };
};

struct simulation_result
{
    double goodput = 0;               ///< Answers in time, relative to the capacity.
    double offered_goodput = 0;       ///< Answers in time, relative to the offered calls.
    double top_priority_answered = 1; ///< Share of priority 0 calls answered in time.
    double dropped_share = 0; ///< Dropped calls, relative to those offered to the queue.
    double level_refused_share =
        0; ///< Calls refused by the level, relative to those that reached the node.
    std::vector<std::uint32_t> waiting;  ///< Sampled every 10 ms.
    std::vector<std::uint32_t> limit;    ///< Sampled every 10 ms.
    std::vector<std::uint32_t> position; ///< Sampled every 10 ms.
    std::vector<std::uint32_t> answered; ///< Calls in each 10 ms.
    std::vector<std::uint32_t> offered;  ///< Calls in each 10 ms.
};

/// Simulates an admission queue with its level controller, a server with slots, and a
/// caller with a pressure table. The network delay is 1 ms in each direction.
class closed_loop_simulation
{
public:
    explicit closed_loop_simulation(simulation_settings settings)
        : settings_(std::move(settings)), random_(settings_.seed),
          queue_(adaptive_limit{slot_count{settings_.slots}}, {settings_.weigh, 0}),
          level_(service_)
    {
    }

    simulation_result run()
    {
        while (now_us_ < settings_.duration_ms * 1000)
        {
            advance();
            now_us_ += tick_us;
        }
        const double measured_ms = static_cast<double>(settings_.count_to_ms) -
                                   static_cast<double>(settings_.count_from_ms);
        result_.goodput =
            answered_in_time_ * settings_.service_ms / (settings_.slots * measured_ms);
        result_.offered_goodput = answered_in_time_ / std::max(1.0, offered_);
        result_.top_priority_answered =
            top_priority_offered_ > 0
                ? top_priority_answered_in_time_ / top_priority_offered_
                : 1;
        result_.dropped_share =
            dropped_ / std::max(1.0, reached_node_ - refused_by_level_);
        result_.level_refused_share = refused_by_level_ / std::max(1.0, reached_node_);
        return result_;
    }

private:
    static constexpr std::int64_t tick_us = 100;

    struct running_call
    {
        std::int64_t end_us;
        std::int64_t start_us;
        std::uint64_t id;
        bool operator<(const running_call& other) const { return end_us > other.end_us; }
    };

    struct reply
    {
        std::int64_t at_us;
        admission_level level;
    };

    time_point now() const { return time_point{milliseconds{now_us_ / 1000}}; }
    std::int64_t now_ms() const { return now_us_ / 1000; }
    bool counted(time_point arrival) const
    {
        const auto ms = arrival.time_since_epoch().count();
        return ms >= settings_.count_from_ms && ms < settings_.count_to_ms;
    }

    void advance()
    {
        finish_calls();
        while (!replies_.empty() && replies_.front().at_us <= now_us_)
        {
            table_.observe_levels({replies_.front().level}, now());
            replies_.pop();
        }
        const double capacity_per_tick =
            settings_.slots / settings_.service_ms * tick_us / 1000;
        const double load = settings_.load(now_ms());
        const double top_priority_load =
            std::min(load, 1.0) * settings_.top_priority_share;
        generate_calls(capacity_per_tick * top_priority_load, 0);
        generate_calls(capacity_per_tick * (load - top_priority_load), 1);
        if (now_us_ % 2'000 == 0)
        {
            apply(queue_.poll(now()));
        }
        if (now_us_ % 50'000 == 0)
        {
            level_.update(queue_.take_window(), now());
        }
        if (now_us_ % 10'000 == 0)
        {
            result_.waiting.push_back(static_cast<std::uint32_t>(queue_.waiting()));
            result_.limit.push_back(queue_.limit());
            result_.position.push_back(level_.position());
            result_.answered.push_back(0);
            result_.offered.push_back(0);
        }
    }

    void generate_calls(double mean, int priority_group)
    {
        const int count = std::poisson_distribution<int>(mean)(random_);
        for (int i = 0; i < count; ++i)
        {
            const int rank =
                priority_group == 0 ? 0 : 2 + static_cast<int>(random_() % 8);
            handle_arrival(priority{static_cast<std::uint8_t>(rank)},
                           static_cast<std::uint16_t>(random_() % fraction_count));
        }
    }

    void handle_arrival(priority rank, std::uint16_t fraction)
    {
        waiting_call call{next_id_++, rank, now(), now() + settings_.timeout,
                          fraction,   false};
        calls_[call.id] = call;
        if (!result_.offered.empty())
        {
            ++result_.offered.back();
        }
        if (counted(now()))
        {
            offered_ += 1;
            top_priority_offered_ += rank.get() == 0 ? 1 : 0;
        }
        if (settings_.refuse_at_root &&
            std::holds_alternative<root_refused>(
                table_.decide(fraction, {rank}, service_, "/p", now())))
        {
            return;
        }
        reached_node_ += counted(now()) ? 1 : 0;
        if (!level_.admit({rank}, fraction))
        {
            refused_by_level_ += counted(now()) ? 1 : 0;
            send_reply();
            return;
        }
        const auto result = queue_.offer(call, now());
        apply(result.changes);
        if (std::holds_alternative<admitted_now>(result.decision))
        {
            start(call.id);
        }
        else if (std::holds_alternative<refused>(result.decision))
        {
            dropped_ += counted(now()) ? 1 : 0;
            send_reply();
        }
    }

    void start(std::uint64_t id)
    {
        double ms = settings_.service_ms * settings_.slowdown_factor(now_ms());
        if (!settings_.constant_service_time)
        {
            ms = std::gamma_distribution<double>(2.0, ms / 2)(random_);
        }
        const auto us = std::max<std::int64_t>(1, static_cast<std::int64_t>(ms * 1000));
        running_.push({now_us_ + us, now_us_, id});
    }

    void finish_calls()
    {
        while (!running_.empty() && running_.top().end_us <= now_us_)
        {
            const auto done = running_.top();
            running_.pop();
            const auto& call = calls_.at(done.id);
            const bool in_time = now() <= call.deadline;
            if (in_time && counted(now()))
            {
                answered_in_time_ += 1;
            }
            if (in_time && call.call_priority.get() == 0 && counted(call.arrival))
            {
                top_priority_answered_in_time_ += 1;
            }
            if (!result_.answered.empty())
            {
                result_.answered.back() += in_time ? 1 : 0;
            }
            send_reply();
            apply(queue_.finish(done.id, microseconds{done.end_us - done.start_us}, true,
                                now()));
        }
    }

    void apply(const queue_changes& changes)
    {
        for (const auto& call : changes.dropped)
        {
            (void)call;
            dropped_ += counted(now()) ? 1 : 0;
            send_reply();
        }
        for (const auto id : changes.started)
        {
            start(id);
        }
    }

    void send_reply() { replies_.push({now_us_ + 2'000, level_.level()}); }

    simulation_settings settings_;
    random_engine random_;
    service_name service_{"pricing"};
    admission_queue queue_;
    level_controller level_;
    pressure_table table_;
    std::priority_queue<running_call> running_;
    std::queue<reply> replies_;
    std::unordered_map<std::uint64_t, waiting_call> calls_;
    std::int64_t now_us_ = 0;
    std::uint64_t next_id_ = 1;
    double answered_in_time_ = 0;
    double offered_ = 0;
    double top_priority_offered_ = 0;
    double top_priority_answered_in_time_ = 0;
    double reached_node_ = 0;
    double dropped_ = 0;
    double refused_by_level_ = 0;
    simulation_result result_;
};

} // namespace fescueridge::test
