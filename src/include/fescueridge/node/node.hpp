#pragma once

#include <memory>
#include <string>
#include <utility>

#include "fescueridge/base/error.hpp"
#include "fescueridge/base/settings.hpp"

namespace fescueridge
{

/// A port of the settings cannot be listened on: names the key.
class listen_error : public address_error
{
public:
    listen_error(std::string key, const std::string& reason)
        : address_error(reason), key_(std::move(key))
    {
    }

    /// Returns the key of the settings, for example "listen.caller".
    const std::string& key() const noexcept { return key_; }

private:
    std::string key_;
};

/// One node of the fleet: all of its ports, its part in every decision, and its control
/// loops.
class node
{
public:
    /// Opens all ports. Throws listen_error when one is in use.
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
