#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "fescueridge/membership/gossip_core.hpp"

namespace fescueridge
{

/// Traffic of a gossip_udp since its start.
struct gossip_counters
{
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t malformed = 0;
};

/// Functions that gossip_udp calls. They run on the io_context without any lock held.
struct gossip_callbacks
{
    /// Called with the changes of the member table, in order.
    std::function<void(const std::vector<member_change>&)> on_change;
    /// Called with the reason when a malformed datagram was dropped; may be empty.
    std::function<void(const endpoint& from, const std::string& reason)> on_malformed;
};

/// Runs a gossip_core over a UDP socket. Safe for use from several threads.
class gossip_udp
{
public:
    /// Opens the socket on `self.gossip`; port 0 takes a free port, which local() and the
    /// own record then show. Throws address_error when it cannot be opened. The
    /// io_context must outlive this object.
    gossip_udp(asio::io_context& context, member_record self,
               std::vector<endpoint> contacts, gossip_callbacks callbacks,
               gossip_options options = {}, const std::optional<endpoint>& listen = {});
    /// Stops. Callbacks that run at the moment finish on their own thread.
    ~gossip_udp();
    gossip_udp(const gossip_udp&) = delete;
    gossip_udp& operator=(const gossip_udp&) = delete;

    /// Starts to send and receive. To be called once.
    void start();

    /// Closes the socket; no callback starts after it returns on the io_context's thread.
    void stop();

    /// Returns the address that the socket is bound to.
    endpoint local() const;

    /// Returns the own record.
    member_record self() const;

    /// Returns true when a live node with a higher incarnation has this node's id.
    bool superseded() const;

    /// Returns all known members but this node, the dead ones included.
    std::vector<member_view> snapshot() const;

    /// Applies `edit` to the own record and spreads the change at once.
    void update_self(const std::function<void(member_record&)>& edit);

    /// Adds contact addresses, for example from the `contacts` records of the log.
    void add_contacts(const std::vector<endpoint>& contacts);

    /// Returns the traffic since the start.
    gossip_counters counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fescueridge
