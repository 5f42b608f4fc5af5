#pragma once

#include <memory>
#include <string>
#include <utility>

#include "fescueridge/base/error.hpp"
#include "fescueridge/base/settings.hpp"

namespace fescueridge
{

/// Thrown if the node cannot listen on a configured address. Holds the key of the
/// setting.
class listen_error : public address_error
{
public:
    listen_error(std::string key, const std::string& reason)
        : address_error(reason), key_(std::move(key))
    {
    }

    /// Returns the key in the settings, for example "listen.caller".
    const std::string& key() const noexcept { return key_; }

private:
    std::string key_;
};

/// One node of the fleet. Owns the ports, the state and the periodic control loops.
class node
{
public:
    /// Opens all ports. Throws listen_error if the node cannot listen on one of them.
    explicit node(const node_settings& settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Serves calls until a stop is requested, then drains: returns once every call in
    /// flight has ended or the drain timeout has passed.
    void run();

    /// Starts a graceful shutdown. Thread safe.
    void request_stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
