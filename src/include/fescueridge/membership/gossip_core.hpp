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

/// Largest gossip datagram in bytes; fits the Ethernet MTU with room for tunnel headers.
constexpr std::size_t max_gossip_datagram = 1200;

/// A datagram to send.
struct outgoing_datagram
{
    endpoint to;
    std::string bytes;
};

/// Periods and limits of the gossip protocol.
struct gossip_options
{
    milliseconds probe_period{500};
    milliseconds suspect_after{1000}; ///< Since the last sign of life.
    milliseconds refute_within{500};  ///< From suspect to dead.
    milliseconds dead_probe_period{1000};
    milliseconds digest_period{20'000}; ///< Anti-entropy with one random member.
    milliseconds forget_after{24 * 3600 * 1000};
    std::size_t indirect_probes = 3;
    std::size_t push_fanout = 3;
    double piggyback_bytes_per_second = 1500; ///< For updates that are not urgent.
};

/// Returns an incarnation for a start at this wall-clock time: the time in milliseconds
/// times 65,536 plus 16 random bits.
incarnation make_incarnation(std::int64_t wall_ms, random_engine& random);

/// SWIM style membership (Das, Gupta and Motivala 2002) as a pure state machine: time is
/// an argument, datagrams are return values. Not safe for use from several threads.
///
/// What is guaranteed: in every probe period each member is the target of one probe in
/// expectation, whatever the size of the fleet. A member that stops is therefore
/// suspected by some node about 1.4 s later in expectation (a wait of up to one period
/// for a probe, then the probe's own time-out), and the news spreads in a number of
/// 100 ms rounds that grows with the logarithm of the fleet. A node declares a member
/// dead 0.5 s after it became suspect at that node. The bounds of 1 s and 1.5 s since
/// the last sign of life hold at a node that has itself just heard the member. They do
/// not hold for every pair of nodes in a large fleet: routing must rely on the heartbeats
/// of its links first. In memory, without loss, a death was known to all members after
/// 1.7 s on average and 2.7 s at worst among 20 (30 runs), 1.9 s and 3.2 s among 200 (10
/// runs). Deaths are never certain: a slow member that returns refutes its
/// death by raising its sequence, and is alive again at all members.
///
/// Sheet versions of other members are exact in small fleets. At the design size their
/// updates exceed the byte budget during frequent sheet changes; versions are then
/// refreshed by direct contact only, and anti-entropy does not compare them.
class gossip_core
{
public:
    /// Starts with the own record and the gossip addresses of a few other nodes.
    gossip_core(member_record self, std::vector<endpoint> contacts, random_engine random,
                time_point now, gossip_options options = {});
    ~gossip_core();
    gossip_core(gossip_core&&) noexcept;
    gossip_core& operator=(gossip_core&&) noexcept;

    /// Runs the timers; to be called every 50 ms. Returns the datagrams to send.
    std::vector<outgoing_datagram> tick(time_point now);

    /// Takes a received datagram and returns the datagrams to send in answer. Throws
    /// codec_error, without any other effect, when the bytes are no valid datagram.
    std::vector<outgoing_datagram> receive(time_point now, const endpoint& from,
                                           std::string_view bytes);

    /// Applies `edit` to the own record and spreads it. Node id, incarnation and sequence
    /// are kept whatever `edit` does to them.
    void update_self(const std::function<void(member_record&)>& edit);

    /// Adds contact addresses, for example from the `contacts` records of the log.
    void add_contacts(const std::vector<endpoint>& contacts);

    /// Returns the own record.
    const member_record& self() const noexcept;

    /// Returns true when a live node with a higher incarnation has this node's id.
    bool superseded() const noexcept;

    /// Returns all known members but this node, the dead ones included.
    std::vector<member_view> members() const;

    /// Returns one member, or nothing when it is not known.
    std::optional<member_view> find(const node_id& node) const;

    /// Returns the changes since the last call, oldest first.
    std::vector<member_change> take_changes();

private:
    std::unique_ptr<detail::gossip_state> state_;
};

} // namespace fescueridge
