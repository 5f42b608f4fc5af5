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

/// What the operator port asks of its node. The functions are called from the port's own
/// threads.
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

/// HTTP port for operators and for announcements of the backend server. Few connections,
/// so cpp-httplib with a small pool of threads carries it.
class operator_port
{
public:
    /// Listens; connections wait until start(). Throws address_error when the address is
    /// in use.
    operator_port(const endpoint& listen, operator_functions functions);
    ~operator_port();
    operator_port(const operator_port&) = delete;
    operator_port& operator=(const operator_port&) = delete;

    /// Starts to serve. The functions must work from now on.
    void start();

    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Reads the body of an announcement. Throws codec_error that names the member at fault.
server_announcement parse_announcement(const std::string& body);

} // namespace fescueridge
