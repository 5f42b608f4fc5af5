#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plan.hpp"

namespace load
{

/// How a request ended, all its attempts together.
enum class request_result : std::uint8_t
{
    ok,      ///< Answered in time, completely and with its own number.
    late,    ///< Answered as ok, but after the timeout (without retries).
    wrong,   ///< Answered as ok without its own number: the answer to another request.
    refused, ///< The last answer was a refusal or a failure.
    lost     ///< No answer to the last attempt.
};

/// One finished request. The times count from the start of the run.
struct sample
{
    float intended_ms = 0; ///< When the plan wanted the request to be sent.
    float latency_ms = 0;  ///< From then to the end of the request.
    std::uint8_t of_class = 0;
    std::uint8_t in_phase = 0;
    request_result result = request_result::lost;
};

/// Counts of attempts of one class in one phase.
struct attempt_counts
{
    std::uint64_t attempts = 0;
    std::uint64_t wrong = 0;
    std::map<std::string, std::uint64_t> refused;  ///< By Fescue-Reason.
    std::map<std::string, std::uint64_t> outcomes; ///< By Fescue-Outcome.
    std::map<std::string, std::uint64_t> wire;     ///< By wire failure.
};

/// Everything recorded in a run.
struct run_record
{
    std::vector<sample> samples;
    std::vector<std::vector<attempt_counts>> counts; ///< [class][phase]
    double duration_ms = 0;
    double max_send_lag_ms = 0; ///< How late the generator itself was at worst.
};

} // namespace load
