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

/// Load and server of one run of a single queue.
struct loop_settings
{
    std::uint32_t slots = 25;
    double service_ms = 10;
    double top_share = 0.1; ///< Of the base load (1.0), whatever the surge.
    bool fixed_times = false;
    bool at_root = true; ///< The caller refuses by the levels of replies.
    weigh_goal weigh = weigh_goal::goodput;
    std::int64_t length_ms = 20'000;
    std::int64_t count_from_ms = 2'000;
    std::int64_t count_to_ms = 18'000; ///< Leaves time for the last counted answers.
    std::uint64_t seed = 1;
    milliseconds timeout{1'000};
    std::function<double(std::int64_t)> load = [](std::int64_t)
    {
        return 1.0;
    };
    std::function<double(std::int64_t)> slowness = [](std::int64_t)
    {
        return 1.0;
    };
};

struct loop_result
{
    double goodput = 0;         ///< Answers in time, over what the slots allow.
    double offered_goodput = 0; ///< Answers in time, over the calls offered.
    double top_answered = 1;
    double dropped_share = 0; ///< Dropped from the queue, of the calls it was offered.
    double held_share = 0;    ///< Over the level of the node, of the calls that it got.
    std::vector<std::uint32_t> waiting;  ///< Each 10 ms.
    std::vector<std::uint32_t> limit;    ///< Each 10 ms.
    std::vector<std::uint32_t> position; ///< Each 10 ms.
    std::vector<std::uint32_t> answered; ///< Each 10 ms.
    std::vector<std::uint32_t> offered;  ///< Each 10 ms.
};

/// Runs one admission queue with its level controller, a server with slots and a caller
/// with a pressure table, 1 ms away in each direction.
class closed_loop
{
public:
    explicit closed_loop(loop_settings settings)
        : settings_(std::move(settings)), random_(settings_.seed),
          queue_(adaptive_limit{slot_count{settings_.slots}}, {settings_.weigh, 0}),
          level_(service_)
    {
    }

    loop_result run()
    {
        while (now_us_ < settings_.length_ms * 1000)
        {
            step();
            now_us_ += tick_us;
        }
        const double span = static_cast<double>(settings_.count_to_ms) -
                            static_cast<double>(settings_.count_from_ms);
        result_.goodput = good_ * settings_.service_ms / (settings_.slots * span);
        result_.offered_goodput = good_ / std::max(1.0, offered_);
        result_.top_answered = top_offered_ > 0 ? top_good_ / top_offered_ : 1;
        result_.dropped_share = dropped_ / std::max(1.0, reached_ - held_back_);
        result_.held_share = held_back_ / std::max(1.0, reached_);
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

    void step()
    {
        finish_calls();
        while (!replies_.empty() && replies_.front().at_us <= now_us_)
        {
            table_.observe({replies_.front().level}, now());
            replies_.pop();
        }
        const double base = settings_.slots / settings_.service_ms * tick_us / 1000;
        const double load = settings_.load(now_ms());
        const double top = std::min(load, 1.0) * settings_.top_share;
        arrive(base * top, 0);
        arrive(base * (load - top), 1);
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

    void arrive(double mean, int kind)
    {
        const int count = std::poisson_distribution<int>(mean)(random_);
        for (int i = 0; i < count; ++i)
        {
            const int rank = kind == 0 ? 0 : 2 + static_cast<int>(random_() % 8);
            arrive_one(priority{static_cast<std::uint8_t>(rank)},
                       static_cast<std::uint16_t>(random_() % fraction_count));
        }
    }

    void arrive_one(priority rank, std::uint16_t fraction)
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
            top_offered_ += rank.get() == 0 ? 1 : 0;
        }
        if (settings_.at_root && std::holds_alternative<root_refused>(table_.decide(
                                     fraction, {rank}, service_, "/p", now())))
        {
            return;
        }
        reached_ += counted(now()) ? 1 : 0;
        if (!level_.admit({rank}, fraction))
        {
            held_back_ += counted(now()) ? 1 : 0;
            send_reply();
            return;
        }
        const auto result = queue_.offer(call, now());
        apply(result.changes);
        if (std::holds_alternative<admitted_now>(result.result))
        {
            start(call.id);
        }
        else if (std::holds_alternative<refused>(result.result))
        {
            dropped_ += counted(now()) ? 1 : 0;
            send_reply();
        }
    }

    void start(std::uint64_t id)
    {
        double ms = settings_.service_ms * settings_.slowness(now_ms());
        if (!settings_.fixed_times)
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
            const bool good = now() <= call.deadline;
            if (good && counted(now()))
            {
                good_ += 1;
            }
            if (good && call.rank.get() == 0 && counted(call.arrival))
            {
                top_good_ += 1;
            }
            if (!result_.answered.empty())
            {
                result_.answered.back() += good ? 1 : 0;
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
        for (const auto id : changes.start)
        {
            start(id);
        }
    }

    void send_reply() { replies_.push({now_us_ + 2'000, level_.level()}); }

    loop_settings settings_;
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
    double good_ = 0;
    double offered_ = 0;
    double top_offered_ = 0;
    double top_good_ = 0;
    double reached_ = 0;
    double dropped_ = 0;
    double held_back_ = 0;
    loop_result result_;
};

} // namespace fescueridge::test
