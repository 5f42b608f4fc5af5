#pragma once

#include <memory>

#include "fescueridge/base/settings.hpp"

namespace fescueridge
{

/// One node of the fleet: all of its ports, its part in every decision, and its control
/// loops.
class node
{
public:
    /// Opens all ports. Throws address_error when one is in use.
    explicit node(const node_settings& settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Serves until a stop is requested and every call in flight has ended, or the drain
    /// timeout is over.
    void run();

    /// Begins a graceful shutdown. Safe from every thread.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
