#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "fescueridge/base/random.hpp"
#include "http_call_client.hpp"
#include "samples.hpp"

namespace load
{

/// The arrivals of one class: a Poisson process whose rate changes with the phases.
/// Depends on the seed and the plan only.
class arrival_process
{
public:
    arrival_process(const load_plan& plan, std::size_t of_class, std::uint64_t seed);

    /// Returns the time of the next arrival in milliseconds since the start, or nothing
    /// at the end of the plan; does not advance.
    std::optional<double> next() const { return next_; }

    /// Returns the phase of the next arrival.
    std::size_t phase() const { return phase_; }

    /// Moves on to the arrival after.
    void advance();

private:
    const load_plan& plan_;
    std::size_t class_;
    fescueridge::random_engine random_;
    std::size_t phase_ = 0;
    double phase_start_ = 0;
    double time_ = 0;
    std::optional<double> next_;
};

/// Sends the requests of a plan and records how they end.
class runner
{
public:
    runner(asio::io_context& context, const load_plan& plan, std::uint64_t seed);

    /// Sends each request at its time, however slow the answers are.
    void start_open();

    /// Keeps this number of requests under way, one after the other on each.
    void start_closed(std::size_t connections);

    /// Runs the io_context until all requests have ended.
    void run_to_end();

    /// Returns the record; to be called after run_to_end.
    run_record take_record();

private:
    struct request;

    void schedule_arrivals();
    void send_due_arrivals();
    std::shared_ptr<request> make_request(std::size_t of_class, std::size_t in_phase,
                                          double intended_ms);
    void send_attempt(const std::shared_ptr<request>& item);
    void schedule_retry(const std::shared_ptr<request>& item);
    void take_answer(const std::shared_ptr<request>& item, call_answer&& answer);
    request_result judge(const request& item, const call_answer& answer,
                         attempt_counts& counts) const;
    void settle(const std::shared_ptr<request>& item, request_result result);
    void next_closed(std::size_t of_class);
    std::string encode(const request& item) const;
    double elapsed_ms() const;
    steady::time_point at(double ms) const;

    asio::io_context& context_;
    const load_plan& plan_;
    std::uint64_t seed_;
    http_call_client client_;
    std::vector<arrival_process> arrivals_;
    asio::steady_timer arrival_timer_;
    steady::time_point start_;
    std::vector<std::uint64_t> numbers_; ///< Next request number of each class.
    std::size_t next_target_ = 0;
    std::size_t unsettled_ = 0; ///< Requests without a result.
    std::size_t under_way_ = 0; ///< Attempts without an answer.
    bool closed_ = false;
    run_record record_;
};

} // namespace load
