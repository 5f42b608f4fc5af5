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

/// Everything that a gateway node logs.
enum class log_event : std::uint8_t
{
    node_started,
    node_stopping,
    node_stopped,
    settings_reloaded,
    settings_unusable,
    config_applied,
    config_unusable,
    log_lost,
    log_regained,
    log_append_failed,
    records_unreadable,
    peer_connected,
    peer_lost,
    link_fault,
    server_changed,
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

/// Returns the stable name of an event.
std::string_view to_string(log_event value) noexcept;

/// How the log treats an event when there are many.
enum class log_weight : std::uint8_t
{
    always,  ///< Rare by nature: state changes and dependencies.
    failure, ///< A request that went wrong: up to a bound for each second.
    success  ///< A request that went well: a sample of the ids.
};

/// Writes one JSON line for each decision to standard output without ever blocking. When
/// the reader is slow or there are too many lines, lines are left out and counted.
class decision_log
{
public:
    decision_log(asio::io_context& io, const node_id& node);

    /// Writes a line with these fields besides time, node and event.
    void record(log_event event, const std::vector<event_field>& fields = {},
                log_weight weight = log_weight::always);

    /// Tells whether a line of this weight about this request would be written, so that
    /// callers can skip the work for its fields. Requests are sampled by their id, so
    /// that all nodes keep or skip the same ones.
    bool wants(log_weight weight, const request_id& id);

    /// Writes what is buffered, as far as standard output takes it.
    void flush();

    /// Number of lines that were left out since the start.
    std::uint64_t left_out() const noexcept { return left_out_; }

private:
    void start_window(time_point now);
    void flush_soon();

    std::string node_;
    asio::steady_timer timer_;
    bool timer_runs_ = false;
    std::string buffer_;
    std::uint64_t left_out_ = 0;
    std::uint64_t left_out_told_ = 0;
    time_point window_start_{};
    unsigned failures_in_window_ = 0;
    unsigned requests_in_window_ = 0;
    unsigned sample_in_ = 1; ///< One request in this many is logged when it goes well.
};

} // namespace fescueridge::gateway
