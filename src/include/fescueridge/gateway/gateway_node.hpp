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

/// A gateway node: takes requests of clients and of the backend server on its VM, leads
/// them to the nodes beside the backend servers of their services, and protects its own
/// server. Runs on the io_context's one thread.
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

    /// Stops: readiness ends at once, requests that run are finished, then the
    /// io_context is stopped.
    void stop();

    /// Records that the settings file was read anew.
    void note_reload(bool usable, const std::string& detail);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge::gateway
