#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"

namespace load
{

/// When and how a request is sent again.
enum class retry_policy : std::uint8_t
{
    none,
    hard_same_id, ///< Every `retry_every` with the same root id and Fescue-Attempt.
    hard_fresh_id ///< Every `retry_every` as a new root request.
};

/// Requests of one kind. "{n}" in path and body is replaced by the request's number.
struct call_class
{
    std::string name;
    std::string caller;
    std::string service; ///< Empty: `path` is sent as it is, without /call/<service>/.
    std::string path;
    std::string method = "GET";
    std::string body;
    double rate = 0; ///< Requests per second at factor 1.
    fescueridge::milliseconds timeout{1000};
    bool idempotency_key = false;
    retry_policy retry = retry_policy::none;
    fescueridge::milliseconds retry_every{200};
    fescueridge::milliseconds give_up{5000};
};

/// A part of the run with constant rates.
struct phase
{
    std::string name;
    fescueridge::milliseconds duration{0};
    bool surge = false;          ///< Recovery is measured after the last such phase.
    std::vector<double> factors; ///< One for each class.
};

/// What to send, where and when.
struct load_plan
{
    std::vector<fescueridge::endpoint> targets;
    std::vector<call_class> classes;
    std::vector<phase> phases;
};

/// Reads a plan file in JSON with comments. Throws fescueridge::settings_error that names
/// the key at fault.
load_plan load_plan_file(const std::string& file);

} // namespace load
