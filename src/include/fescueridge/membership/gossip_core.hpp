#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/membership/member_record.hpp"

namespace fescueridge
{

namespace detail
{
class gossip_state;
}

/// Maximum size of a gossip datagram: the Ethernet MTU minus room for tunnel headers.
constexpr std::size_t max_gossip_datagram_bytes = 1200;

/// A datagram to send and its destination.
struct outgoing_datagram
{
    endpoint to;
    std::string bytes;
};

/// Periods and limits of the gossip protocol.
struct gossip_options
{
    milliseconds probe_period{500};
    milliseconds suspect_after{1000};    ///< Time from the last contact to suspect.
    milliseconds suspicion_timeout{500}; ///< Time from suspect to dead.
    milliseconds dead_probe_period{1000};
    milliseconds digest_period{20'000}; ///< Period of anti-entropy with a random member.
    milliseconds forget_after{24 * 3600 * 1000}; ///< Time from dead to removal.
    /// Members asked to probe a member that does not answer.
    std::size_t indirect_probe_count = 3;
    std::size_t push_fanout = 3;              ///< Receivers of each push.
    double piggyback_bytes_per_second = 1500; ///< Budget for updates that are not urgent.
};

/// Returns an incarnation for a process start at this wall-clock time: the time in
/// milliseconds times 65,536 plus 16 random bits.
incarnation make_incarnation(std::int64_t wall_ms, random_engine& random);

/// SWIM membership protocol (Das, Gupta and Motivala 2002) as a state machine without
/// I/O: the time is an argument, and the datagrams to send are return values. Not safe
/// for use from several threads.
///
/// Detection time: in each probe period each member is the target of one probe in
/// expectation, whatever the size of the fleet. Some node therefore suspects a stopped
/// member after about 1.4 s in expectation: up to one period until a probe, then the
/// probe timeout. The suspicion spreads in rounds of 100 ms, whose number grows with the
/// logarithm of the fleet size. A node declares a member dead 0.5 s after it marked the
/// member as suspect. In simulation without datagram loss, all members had declared a
/// stopped one dead after 1.7 s on average and 2.7 s at most with 20 members (30 runs),
/// and after 1.9 s and 3.2 s with 200 members (10 runs).
///
/// A member becomes suspect 1 s and dead 1.5 s after the last contact only at a node that
/// was in direct contact with it until then. These limits do not hold for each pair of
/// nodes in a large fleet, so routing must rely on link heartbeats first.
///
/// A live member can be declared dead. A slow member that returns refutes this by raising
/// its sequence and becomes alive again at all members.
///
/// Sheet versions of other members are exact in small fleets. At the design size,
/// frequent sheet changes produce more updates than the byte budget allows; versions are
/// then refreshed by direct contact only, and anti-entropy does not compare them.
class gossip_core
{
public:
    /// `self` is the own record; `contacts` are gossip addresses of a few other nodes.
    gossip_core(member_record self, std::vector<endpoint> contacts, random_engine random,
                time_point now, gossip_options options = {});
    ~gossip_core();
    gossip_core(gossip_core&&) noexcept;
    gossip_core& operator=(gossip_core&&) noexcept;

    /// Runs the timers and returns the datagrams to send. Must be called every 50 ms.
    std::vector<outgoing_datagram> tick(time_point now);

    /// Processes a received datagram and returns the datagrams to send in response.
    /// Throws codec_error, without any change of state, if `bytes` is not a valid
    /// datagram.
    std::vector<outgoing_datagram> receive(time_point now, const endpoint& from,
                                           std::string_view bytes);

    /// Applies `edit` to the own record and disseminates the new version. Changes of the
    /// node id, incarnation and sequence by `edit` are ignored.
    void update_self(const std::function<void(member_record&)>& edit);

    /// Adds contact addresses, for example from the `contacts` records of the log.
    void add_contacts(const std::vector<endpoint>& contacts);

    /// Returns the own record.
    const member_record& self() const noexcept;

    /// Returns true once a live node with this node's id and a higher incarnation was
    /// found.
    bool superseded() const noexcept;

    /// Returns all known members except this node, including dead ones.
    std::vector<member_view> members() const;

    /// Returns a member, or nullopt if it is unknown.
    std::optional<member_view> find(const node_id& node) const;

    /// Returns and clears the changes since the last call, oldest first.
    std::vector<member_change> take_changes();

private:
    std::unique_ptr<detail::gossip_state> state_;
};

} // namespace fescueridge
