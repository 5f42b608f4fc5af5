#include "fescueridge/gateway/decision_log.hpp"

#include <cerrno>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include "fescueridge/base/random.hpp"

namespace fescueridge::gateway
{
namespace
{

constexpr milliseconds rate_window{1'000};
constexpr milliseconds flush_interval{100};

/// Maximum number of lines about failed requests per second.
constexpr unsigned max_failures_per_s = 60;

/// Average number of lines about successful requests per second.
constexpr unsigned target_successes_per_s = 8;

/// Maximum size of the buffer, in bytes, for lines that standard output does not accept
/// yet; further lines are dropped.
constexpr std::size_t max_buffer_bytes = std::size_t{256} * 1024;

/// Maximum sampling interval; a power of two, like all sampling intervals.
constexpr unsigned max_sample_interval = 1U << 20U;

} // namespace

std::string_view to_string(log_event value) noexcept
{
    switch (value)
    {
    case log_event::node_started:
        return "node_started";
    case log_event::node_stopping:
        return "node_stopping";
    case log_event::node_stopped:
        return "node_stopped";
    case log_event::settings_reloaded:
        return "settings_reloaded";
    case log_event::settings_unusable:
        return "settings_unusable";
    case log_event::config_applied:
        return "config_applied";
    case log_event::config_unusable:
        return "config_unusable";
    case log_event::config_value_unusable:
        return "config_value_unusable";
    case log_event::log_lost:
        return "log_lost";
    case log_event::log_regained:
        return "log_regained";
    case log_event::log_restored:
        return "log_restored";
    case log_event::log_append_failed:
        return "log_append_failed";
    case log_event::departures_not_stored:
        return "departures_not_stored";
    case log_event::records_unreadable:
        return "records_unreadable";
    case log_event::peer_connected:
        return "peer_connected";
    case log_event::peer_lost:
        return "peer_lost";
    case log_event::link_fault:
        return "link_fault";
    case log_event::server_changed:
        return "server_changed";
    case log_event::process_paused:
        return "process_paused";
    case log_event::server_rate_changed:
        return "server_rate_changed";
    case log_event::announcement_unusable:
        return "announcement_unusable";
    case log_event::shares_changed:
        return "shares_changed";
    case log_event::request_rejected:
        return "request_rejected";
    case log_event::request_retried:
        return "request_retried";
    case log_event::request_answered:
        return "request_answered";
    case log_event::request_abandoned:
        return "request_abandoned";
    case log_event::run_turned_away:
        return "run_turned_away";
    case log_event::run_failed:
        return "run_failed";
    case log_event::request_unreadable:
        return "request_unreadable";
    }
    return "node_started";
}

decision_log::decision_log(asio::io_context& io, const node_id& node)
    : node_(node.get()), flush_timer_(io)
{
}

void decision_log::update_window(time_point now)
{
    if (now - window_start_ < rate_window)
        return;
    window_start_ = now;
    sample_interval_ = 1;
    while (successes_in_window_ / sample_interval_ > target_successes_per_s &&
           sample_interval_ < max_sample_interval)
        sample_interval_ *= 2;
    failures_in_window_ = 0;
    successes_in_window_ = 0;
}

bool decision_log::should_log(log_category category, const request_id& id)
{
    update_window(clock::now());
    if (category == log_category::always)
        return true;
    bool should_write = false;
    if (category == log_category::failure)
    {
        should_write = ++failures_in_window_ <= max_failures_per_s;
    }
    else
    {
        ++successes_in_window_;
        should_write = stable_hash(id.get()) % sample_interval_ == 0;
    }
    if (!should_write)
        ++dropped_lines_;
    return should_write;
}

void decision_log::record(log_event event, const std::vector<event_field>& fields,
                          log_category category)
{
    if (buffer_.size() > max_buffer_bytes)
    {
        ++dropped_lines_;
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = wall_clock_ms();
    line["node"] = node_;
    line["event"] = to_string(event);
    for (const event_field& field : fields)
        std::visit([&](const auto& content) { line[field.name] = content; }, field.value);
    if (dropped_lines_ != logged_dropped_lines_ && category != log_category::success)
    {
        line["lines_left_out"] = dropped_lines_;
        logged_dropped_lines_ = dropped_lines_;
    }
    // Bytes received from the network may not be valid UTF-8; replacing them keeps the
    // line valid JSON.
    buffer_ += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    buffer_ += '\n';
    schedule_flush();
}

void decision_log::schedule_flush()
{
    if (flush_scheduled_)
        return;
    flush_scheduled_ = true;
    flush_timer_.expires_after(flush_interval);
    flush_timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec)
                return;
            flush_scheduled_ = false;
            flush();
            if (!buffer_.empty())
                schedule_flush();
        });
}

void decision_log::flush()
{
    // PIPE_BUF on Linux: a write of at most this many bytes to a writable pipe does not
    // block.
    constexpr std::size_t max_nonblocking_write_bytes = 4096;
    while (!buffer_.empty())
    {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&out, 1, 0) <= 0)
            return;
        const auto size = std::min(buffer_.size(), max_nonblocking_write_bytes);
        const auto written = ::write(STDOUT_FILENO, buffer_.data(), size);
        if (written <= 0)
        {
            // The reader has closed the pipe, so the lines cannot be delivered.
            if (errno != EINTR && errno != EAGAIN)
                buffer_.clear();
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace fescueridge::gateway
