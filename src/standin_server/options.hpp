#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"

namespace fescueridge::standin
{

/// Distribution of the service time.
enum class service_time_kind : std::uint8_t
{
    fixed,
    exponential
};

/// Command line of the stand-in backend server.
struct options
{
    endpoint listen{"127.0.0.1", 0};
    std::optional<endpoint> announced_address; ///< Default: the address listened on.
    std::string service;
    std::uint32_t slots = 10;
    std::uint32_t connections = 100;
    double service_ms = 10;
    service_time_kind service_dist = service_time_kind::fixed;
    std::uint64_t seed = 1;
    std::optional<endpoint> node_operator;
    std::optional<endpoint> node_server;
    std::vector<std::string> downstream;
    milliseconds cold{0};
    std::string poison;
    std::string record_file;
};

} // namespace fescueridge::standin
