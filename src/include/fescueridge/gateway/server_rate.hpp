#pragma once

#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/gateway/wire_format.hpp"

namespace fescueridge::gateway
{

/// Tracks the rate limit that the backend server beside this node states in its answers.
/// A limit is in force from the first answer that states it until an answer to a later
/// request states none, or until another start of the server. A restarted process adopts
/// the limit that its peers remember; the next answer confirms or ends it.
class server_rate
{
public:
    /// Processes what an answer states. `sent_at` is when its request was sent: answers
    /// to requests sent before the limit was last stated do not end it. Returns whether
    /// the limit in force has changed.
    bool on_answer(const server_notice& notice, time_point sent_at, time_point now);

    /// Remembers the limit that a peer knows of a start of the server.
    void remember(const server_record& server, std::optional<call_rate> rate);

    /// Selects the current start of the server, and applies a remembered limit if it is
    /// of that start. Returns whether the limit in force has changed.
    bool select(const server_record& server, time_point now);

    /// Returns the limit in force, in requests per second from all nodes together.
    std::optional<call_rate> rate() const noexcept { return rate_; }

    /// Number of answers whose limit was not a positive number.
    std::uint64_t unusable() const noexcept { return unusable_; }

private:
    struct remembered_rate
    {
        server_record server;
        call_rate rate;
    };

    bool set(std::optional<call_rate> rate);

    std::optional<call_rate> rate_;
    std::optional<remembered_rate> remembered_;
    server_record server_;
    time_point stated_at_{};
    std::uint64_t unusable_ = 0;
};

} // namespace fescueridge::gateway
