#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/events.hpp"
#include "fescueridge/node/server_executor.hpp"
#include "fescueridge/sheet/operator_api.hpp"

namespace fescueridge
{

/// Functions of the node that the operator port calls, from its own threads.
struct operator_functions
{
    std::function<status_view()> status;
    std::function<members_view()> members;
    std::function<pressure_view()> pressure;
    std::function<sheet_view()> sheet;
    std::function<submit_result(const submit_request&)> submit;
    std::function<drain_result()> drain;
    std::function<void(const server_announcement&)> announce;
    std::function<std::string()> metrics;
    event_log* events = nullptr;
};

/// HTTP port for operators and for announcements from the backend server. It serves few
/// connections, so it uses cpp-httplib with a small thread pool.
class operator_port
{
public:
    /// Opens the port. Connections are not served until start(). Throws address_error if
    /// the port cannot listen on the address.
    operator_port(const endpoint& listen, operator_functions functions);
    ~operator_port();
    operator_port(const operator_port&) = delete;
    operator_port& operator=(const operator_port&) = delete;

    /// Starts serving connections. The functions must be callable from now on.
    void start();

    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Parses the body of an announcement. Throws codec_error, which names the invalid
/// member.
server_announcement parse_announcement(const std::string& body);

} // namespace fescueridge
