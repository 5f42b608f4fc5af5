#pragma once

#include "fescueridge/base/clock.hpp"

namespace fescueridge::gateway::freshness
{

/// Bounds on the time for which a node acts on what it knows about the rest of the system
/// without a confirmation. Every belief that others can change has its bound here:
///
/// - The configuration is the newest one. Confirmed by an answer of the log, or by a peer
///   whose own one is confirmed and not newer; else the node probes the log beside the
///   waiting read.
/// - The list of nodes is complete. Confirmed by an answer of the log to a waiting read;
///   else the read is repeated on a new connection.
/// - A link works. Confirmed by any bytes from the peer; else no new requests go out on
///   it, then it is closed and dialled again.
/// - A peer's report is current. Confirmed by the next report; else its demand and its
///   server no longer count.
/// - The own server states a rate limit. Confirmed by every answer; without answers, a
///   health check asks for one.
/// - The own server is alive. Confirmed by a heartbeat and, while requests run, by an
///   answer; else it must pass a health check before it gets more requests.
/// - What came from the log still stands there: offsets, this node's record, the list of
///   nodes, the estimated calls. Confirmed by the era in each answer of the log; when it
///   rises, topics are listed anew and own records are written again. The configuration
///   in force and acknowledged departures stay.
///
/// Requests have their deadlines as bounds; the transport bounds the opening of a
/// connection.

/// Timing of the probes that confirm a topic while its read waits.
struct probe_timing
{
    milliseconds interval; ///< Maximum time without a confirmation before a probe.
    milliseconds timeout;  ///< Of a probe; the next one uses a new connection.

    /// Returns the timing for the configuration, which must be in force everywhere within
    /// `apply_bound` after the log has it. Two fifths of that time are left for a new
    /// connection and a second probe.
    static constexpr probe_timing for_config(milliseconds apply_bound)
    {
        return {apply_bound * 2 / 5, apply_bound / 5};
    }
};

/// Longest timeout of probes that keep timing out. It lets a log that answers slowly
/// answer at all.
constexpr milliseconds max_probe_timeout{5'000};

/// Maximum wait of a read for new records, and the time after that in which the log must
/// have answered.
constexpr milliseconds max_read_wait{20'000};
constexpr milliseconds read_timeout_margin{1'000};

/// A link that is silent for longer is closed: its pending requests fail.
constexpr milliseconds max_link_silence{1'200};

/// A peer that has not answered a ping for longer receives no new requests. A link in use
/// is pinged after 200 ms of silence, another one when a report is late.
constexpr milliseconds max_unanswered_ping{350};

/// Returns the time of silence after which a peer, with two reports missing, receives no
/// new requests.
constexpr milliseconds max_responsive_silence(milliseconds report_interval)
{
    return 2 * report_interval + milliseconds{50};
}

/// Reports older than this are ignored.
constexpr milliseconds max_report_age{1'500};

/// A rate limit that the server has not stated for longer is confirmed by a health check:
/// a server with a low limit may get no requests whose answers would end it.
constexpr milliseconds max_rate_unconfirmed{1'500};

/// Number of missing heartbeats after which a server is suspected.
constexpr int max_missing_heartbeats = 4;

/// A server that has not answered for this many mean slot times, and for at least the
/// minimum below, is suspected and must pass a health check before it receives more
/// requests.
constexpr double max_silent_slot_times = 10;
constexpr milliseconds min_server_silence{1'000};

} // namespace fescueridge::gateway::freshness
