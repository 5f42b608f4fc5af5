#pragma once

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/events.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge::gateway
{

/// Events logged by a gateway node.
enum class log_event : std::uint8_t
{
    node_started,
    node_stopping,
    node_stopped,
    settings_reloaded,
    settings_unusable,
    config_applied,
    config_unusable,
    config_value_unusable,
    log_lost,
    log_regained,
    log_restored,
    log_append_failed,
    departures_not_stored,
    records_unreadable,
    peer_connected,
    peer_lost,
    link_fault,
    server_changed,
    server_rate_changed,
    process_paused,
    announcement_unusable,
    shares_changed,
    request_rejected,
    request_retried,
    request_answered,
    request_abandoned,
    run_turned_away,
    run_failed,
    request_unreadable
};

/// Returns the name of an event in log lines; stable across versions.
std::string_view to_string(log_event value) noexcept;

/// How the number of lines of an event is limited.
enum class log_category : std::uint8_t
{
    always,  ///< Not limited: state changes and dependencies, which are rare.
    failure, ///< Failed requests: limited per second.
    success  ///< Successful requests: sampled by request id.
};

/// Writes one JSON line for each decision to standard output without blocking. When the
/// reader is slow or there are too many lines, lines are dropped and counted.
class decision_log
{
public:
    decision_log(asio::io_context& io, const node_id& node);

    /// Writes a line with the time, node, event and the given fields.
    void record(log_event event, const std::vector<event_field>& fields = {},
                log_category category = log_category::always);

    /// Returns whether to write a line of this category about this request; callers check
    /// it before they assemble the fields. Counts the line as dropped if not. Requests
    /// are sampled by their id, so that all nodes log the same ones.
    bool should_log(log_category category, const request_id& id);

    /// Writes buffered lines until standard output would block.
    void flush();

    /// Returns the number of lines dropped since the start.
    std::uint64_t dropped_lines() const noexcept { return dropped_lines_; }

private:
    void update_window(time_point now);
    void schedule_flush();

    std::string node_;
    asio::steady_timer flush_timer_;
    bool flush_scheduled_ = false;
    std::string buffer_;
    std::uint64_t dropped_lines_ = 0;
    std::uint64_t logged_dropped_lines_ = 0;
    time_point window_start_{};
    unsigned failures_in_window_ = 0;
    unsigned successes_in_window_ = 0;
    unsigned sample_interval_ = 1; ///< One in this many successful requests is logged.
};

} // namespace fescueridge::gateway
