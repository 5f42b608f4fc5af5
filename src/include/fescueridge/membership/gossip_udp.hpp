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

/// Traffic counters of a gossip_udp since its start.
struct gossip_counters
{
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t datagrams_malformed = 0;
};

/// Callbacks of gossip_udp. They run on the io_context without locks held.
struct gossip_callbacks
{
    /// Called with the changes of the member table, in order.
    std::function<void(const std::vector<member_change>&)> on_change;
    /// Called when a malformed datagram is dropped, with the reason. May be empty.
    std::function<void(const endpoint& from, const std::string& reason)> on_malformed;
};

/// Runs a gossip_core over a UDP socket. Thread-safe.
class gossip_udp
{
public:
    /// Opens the socket on `listen` or, if that is empty, on `self.gossip`. Port 0
    /// selects a free port, which local_endpoint() returns; without `listen` it is also
    /// set in the own record. Throws address_error if the socket cannot be opened.
    /// `context` must outlive this object.
    gossip_udp(asio::io_context& context, member_record self,
               std::vector<endpoint> contacts, gossip_callbacks callbacks,
               gossip_options options = {}, const std::optional<endpoint>& listen = {});
    /// Calls stop(). Callbacks that are running finish on their own thread.
    ~gossip_udp();
    gossip_udp(const gossip_udp&) = delete;
    gossip_udp& operator=(const gossip_udp&) = delete;

    /// Starts sending and receiving. Must be called only once.
    void start();

    /// Closes the socket. If called on the io_context's thread, no callback starts after
    /// it returns.
    void stop();

    /// Returns the address to which the socket is bound.
    endpoint local_endpoint() const;

    /// Returns the own record.
    member_record self() const;

    /// Returns true once a live node with this node's id and a higher incarnation was
    /// found.
    bool superseded() const;

    /// Returns all known members except this node, including dead ones.
    std::vector<member_view> members() const;

    /// Applies `edit` to the own record and disseminates the new version at once.
    void update_self(const std::function<void(member_record&)>& edit);

    /// Adds contact addresses, for example from the `contacts` records of the log.
    void add_contacts(const std::vector<endpoint>& contacts);

    /// Returns the traffic counters.
    gossip_counters counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fescueridge
