#pragma once

#include <memory>

#include "fescueridge/gateway/keyed_log.hpp"
#include "fescueridge/gateway/settings.hpp"
#include "fescueridge/gateway/wire_format.hpp"

namespace asio
{
class io_context;
}

namespace fescueridge::gateway
{

/// A gateway node: forwards the requests of clients and of the backend server on its VM
/// to the nodes beside the backend servers of the requested services, and protects its
/// own backend server from overload. Runs on the single thread of the io_context.
class gateway_node
{
public:
    /// `wire` and `log` must outlive the node. Throws address_error when an address
    /// cannot be listened on.
    gateway_node(asio::io_context& io, node_settings settings, const wire_format& wire,
                 keyed_log& log);
    ~gateway_node();
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    /// Stops the node: it reports not ready at once, completes the running requests and
    /// then stops the io_context.
    void stop();

    /// Changes the service of this VM, which its requests state as their caller.
    void set_service(const service_name& service);

    /// Logs that the settings file was reloaded, with `detail`.
    void log_settings_reload(bool usable, const std::string& detail);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge::gateway
