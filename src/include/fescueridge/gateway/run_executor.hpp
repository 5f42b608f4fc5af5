#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "fescueridge/base/duration_histogram.hpp"
#include "fescueridge/gateway/call_graph.hpp"
#include "fescueridge/gateway/crash_suspects.hpp"
#include "fescueridge/gateway/decision_log.hpp"
#include "fescueridge/gateway/rejection_meter.hpp"
#include "fescueridge/gateway/run_queue.hpp"
#include "fescueridge/gateway/server_rate.hpp"
#include "fescueridge/gateway/server_tracker.hpp"
#include "fescueridge/gateway/settings.hpp"
#include "fescueridge/gateway/wire_format.hpp"
#include "fescueridge/transport/http_client_pool.hpp"

namespace fescueridge::gateway
{

/// Functions called by the executor on the io thread.
struct executor_callbacks
{
    /// The server, its state or its limit has changed and must be reported to the peers.
    std::function<void()> on_server_changed;
    std::function<void(const suspect_message&)> on_suspect;
    /// A start of the server has left, which must be stored before it is acknowledged.
    std::function<void(const departed_start&)> on_departure;
};

/// Counts of outcomes of requests for the server beside this node.
struct executor_counters
{
    std::uint64_t answered = 0;
    std::uint64_t turned_away = 0;
    std::uint64_t rejected_by_server = 0;
    std::uint64_t broken_off = 0;
    std::uint64_t health_checks = 0;
    std::uint64_t delayed_by_rate = 0;
    std::uint64_t unusable_rates = 0;
};

/// Runs requests at the backend server beside this node: tracks the state of the server,
/// limits and queues requests, sends them and classifies the answers. Used from one io
/// thread.
class run_executor
{
public:
    using callback = std::function<void(forward_reply_message)>;

    run_executor(asio::io_context& io, const node_settings& settings,
                 const wire_format& wire, decision_log& decisions,
                 executor_callbacks callbacks);
    ~run_executor();
    run_executor(const run_executor&) = delete;
    run_executor& operator=(const run_executor&) = delete;

    /// Runs a request. `done` is called exactly once, possibly before submit() returns,
    /// unless the request is cancelled.
    run_number submit(forward_message call, callback done);

    /// Cancels a request whose client has disconnected. A request that is at_most_once
    /// and already sent is not interrupted; its answer is discarded.
    void cancel(run_number number);

    /// Takes back a request that has not been sent to the server: it ends as not run. Has
    /// no effect on a request that was sent.
    void recall(run_number number);

    /// Processes an announcement of the server.
    server_change on_announcement(const server_announcement& announcement);
    void on_server_record_from_peer(const own_server_message& own);

    /// Processes the departures that earlier processes of this node stored in the log.
    void on_stored_departures(const std::vector<departed_start>& departures);
    void on_suspect(const suspect_message& suspect)
    {
        suspects_.on_suspect(suspect, clock::now());
    }

    /// Returns whether earlier runs of this request have crashed servers.
    bool is_quarantined(const forward_message& call) const;

    /// Returns the crashes of requests that ran at several, for a new process.
    std::vector<suspect_message> repeated_suspects() const
    {
        return suspects_.repeated(clock::now());
    }

    /// Records a call made by the server beside this node. Returns the rank of the
    /// run that most likely made it, or null when no run matches.
    std::optional<request_rank> on_server_call(const route_name& callee,
                                               milliseconds time_left);

    /// Returns whether a running request may have made a call with this much time left: a
    /// call does not last longer than its parent.
    bool may_have_called(milliseconds time_left) const;

    /// Changes the service of this VM.
    void set_service(const service_name& service);

    /// Applies the operators' settings of the service.
    void configure(const service_settings& settings);

    /// Rejects new and waiting requests from now on; running requests are completed.
    void stop_accepting();

    /// Checks for missing heartbeats, overdue answers and expired queue entries; call it
    /// every 50 ms.
    void poll();

    bool accepts() const { return !stopping_ && tracker_.accepts(); }
    std::size_t open_runs() const noexcept { return runs_.size(); }
    server_load load() const;
    std::uint32_t limit() const { return queue_.usable_limit(); }

    /// Moving average of the time at the server, in milliseconds; 0 when unknown.
    double service_ms() const noexcept { return queue_.slot_ms(); }

    /// Moving average for a route, or for all requests when it was not measured.
    double service_ms(const route_name& route) const
    {
        const double known = queue_.slot_ms(route);
        return known > 0 ? known : queue_.slot_ms();
    }
    const std::optional<server_record>& server() const { return tracker_.server(); }

    /// Fills in the fields of a report that describe the server.
    void fill_report(node_report_message& report) const;

    /// Adds the estimates to a report: the slot time of each route and the calls between
    /// routes.
    void add_learned(node_report_message& report) const;

    /// Sets the initial call estimates to those of another process.
    void set_initial_calls(const std::vector<call_edge>& edges)
    {
        call_graph_.set_initial_edges(edges);
    }

    void decay_call_graph() { call_graph_.decay(); }

    executor_counters counters() const;
    std::uint64_t connections_opened() const;

    /// Times from sending a request to the server to receiving its complete answer.
    const duration_histogram& run_times() const noexcept { return run_times_; }

    void close();

private:
    struct run
    {
        forward_message call;
        callback done;
        time_point deadline;
        time_point sent_at{};
        http_call_handle handle;
        bool cancelled = false;
    };

    std::optional<forward_failure> refusal_reason(const forward_message& call) const;
    bool has_room_for(std::size_t body_bytes) const;
    void handle_server_change(server_change change, const std::string& cause);
    void start_run(run_number number);
    void on_result(run_number number, http_result result);
    void check_for_pause();
    void on_answer(run_number number, http_response answer);
    void on_failure(run_number number, const http_failure& failure);
    void finish_run(run_number number, forward_reply_message reply, bool sample);
    void fail_run(run_number number, forward_result result, forward_failure failure,
                  bool sample);
    void start_and_drop(const dequeued_runs& dequeued);
    void reject_waiting(forward_failure reason);
    void replace_pool();
    void send_health_check();
    std::uint32_t limit_for(slot_count slots) const;
    connection_count connection_limit() const;
    void set_slots(slot_count slots);
    void on_notice(const http_response& answer, time_point sent_at);
    void select_server();
    void apply_rate(const char* cause);
    void on_connection_refused();
    void on_restart(const server_record& before);
    void on_crash(const server_record& crashed);
    void log_run(log_event event, const run& entry, const char* outcome);

    asio::io_context& io_;
    const node_settings& settings_;
    const wire_format& wire_;
    decision_log& decisions_;
    executor_callbacks callbacks_;
    server_tracker tracker_;
    server_rate rate_;
    run_queue queue_;
    crash_suspects suspects_;
    call_graph_estimator call_graph_;
    std::unordered_map<run_number, run> runs_;
    std::uint64_t next_number_ = 0;
    std::unique_ptr<http_client_pool> pool_;
    std::unique_ptr<http_client_pool> health_check_pool_;
    std::uint64_t replaced_pools_opened_ = 0; ///< Connections opened by replaced pools.
    std::string health_path_;
    std::uint32_t max_connections_ = 0;
    time_point last_answer_{};
    time_point last_active_{}; ///< Of the last sign that this process was not paused.
    time_point next_health_check_{};
    bool answered_ = false; ///< This start of the server has answered this process.
    bool health_check_running_ = false;
    bool stopping_ = false;
    rejection_meter rejections_;
    executor_counters counters_;
    duration_histogram run_times_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace fescueridge::gateway
