#include "fescueridge/gateway/wire_format.hpp"

#include "fescueridge/base/overloaded.hpp"
#include "fescueridge/gateway/keyed_log.hpp"

namespace fescueridge::gateway
{

bool states_leaving(const server_announcement& announcement)
{
    return std::visit(overloaded{[](const server_heartbeat& heartbeat)
                                 { return is_leaving(heartbeat.server.state); },
                                 [](const server_departure&)
                                 {
                                     return true;
                                 }},
                      announcement);
}

std::string_view to_string(rejection value) noexcept
{
    switch (value)
    {
    case rejection::bad_request:
        return "bad_request";
    case rejection::no_route:
        return "no_route";
    case rejection::unauthorized:
        return "unauthorized";
    case rejection::unusable:
        return "config_unusable";
    case rejection::no_config:
        return "no_config";
    case rejection::quota:
        return "quota";
    case rejection::overload:
        return "overload";
    case rejection::no_server:
        return "no_server";
    case rejection::stopping:
        return "stopping";
    case rejection::quarantined:
        return "quarantined";
    case rejection::server_failed:
        return "server_failed";
    case rejection::link_failed:
        return "link_failed";
    case rejection::interrupted:
        return "interrupted";
    case rejection::timeout:
        return "timeout";
    }
    return "bad_request";
}

bool guarantees_not_run(rejection value) noexcept
{
    switch (value)
    {
    case rejection::unusable:
    case rejection::no_config:
    case rejection::quota:
    case rejection::overload:
    case rejection::no_server:
    case rejection::stopping:
    case rejection::quarantined:
        return true;
    default:
        return false;
    }
}

std::string_view to_string(log_failure_kind value) noexcept
{
    switch (value)
    {
    case log_failure_kind::unavailable:
        return "unavailable";
    case log_failure_kind::unknown:
        return "unknown";
    case log_failure_kind::truncated:
        return "truncated";
    case log_failure_kind::malformed:
        return "malformed";
    }
    return "unavailable";
}

} // namespace fescueridge::gateway
