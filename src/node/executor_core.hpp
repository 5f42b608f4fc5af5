#pragma once

#include <asio/io_context.hpp>
#include <mutex>
#include <unordered_map>

#include "fescueridge/base/stopwatch.hpp"
#include "fescueridge/node/server_executor.hpp"
#include "fescueridge/overload/admission.hpp"
#include "fescueridge/overload/pressure.hpp"
#include "fescueridge/transport/http_client_pool.hpp"

namespace fescueridge::detail
{

/// A call that is being claimed, queued or run by the executor.
struct executor_job
{
    std::uint64_t queue_id = 0;
    call_message call;
    local_executor::reply_callback done;
    std::shared_ptr<call_context> context;
    fingerprint request_fingerprint;
    bool exclusive = false;
    std::shared_ptr<claim_client> claim; ///< Holds the claim of the call; may be null.
    http_call_handle handle;
    stopwatch since_arrival;
    std::optional<stopwatch> since_dispatch; ///< Set when the call is sent to the server.
    bool cancelled = false;
};

using job_ptr = std::shared_ptr<executor_job>;

/// A call whose connection failed. It fails once a probe has determined whether the
/// server crashed.
struct interrupted_call
{
    job_ptr job;
    http_failure failure;
};

/// Implementation of server_executor. Each member function locks the mutex only for its
/// own state change, and unlocks it before calling into another module.
class executor_core : public std::enable_shared_from_this<executor_core>
{
public:
    explicit executor_core(executor_dependencies dependencies);

    void execute(call_message call, local_executor::reply_callback done);
    void cancel(const call_id& id);
    void announce(const server_announcement& server);
    void drain();
    void refuse_waiting();
    void remove_server();
    void set_claim_client(std::shared_ptr<claim_client> client);
    void update_level();
    std::optional<admission_level> level() const;
    executor_load load() const;
    std::size_t in_flight() const;

private:
    /// Result of checking a call against the sheet.
    struct rule_check
    {
        std::optional<refusal_reason> refusal;
        bool at_most_once = false;
    };

    // Admission.
    rule_check check_rule(const call_message& call) const;
    std::optional<refusal_reason> check_server(const call_message& call) const;
    bool passes_level(const call_message& call);
    void claim_key(const job_ptr& job);
    void enqueue(const job_ptr& job);
    void apply_queue_changes(const queue_changes& changes);
    void schedule_queue_poll();
    void poll_queue();
    std::vector<job_ptr> find_jobs(const std::vector<std::uint64_t>& queue_ids) const;
    void refuse_dropped(const dropped_call& dropped);

    // Running.
    void dispatch(const job_ptr& job);
    http_request make_request(const executor_job& job) const;
    void on_result(const job_ptr& job, http_result result);
    void on_response(const job_ptr& job, http_response response);
    void on_failure(const job_ptr& job, const http_failure& failure);
    void leave_queue(const job_ptr& job, bool success);

    // Crash of the server.
    void probe_server(const job_ptr& job, const http_failure& failure);
    void on_probe_result(bool alive);
    void fail_interrupted_calls(const std::vector<interrupted_call>& interrupted);
    void record_server_crash(const std::vector<job_ptr>& running, incarnation server);
    std::vector<interrupted_call> take_interrupted_calls();

    // Completion.
    void refuse(const job_ptr& job, refusal_reason reason, outcome result);
    void finish(const job_ptr& job, reply_message reply);

    executor_dependencies deps_;
    mutable std::mutex mutex_;
    std::optional<server_announcement> server_;
    bool draining_ = false;
    std::shared_ptr<http_client_pool> pool_;
    admission_queue queue_;
    bool queue_poll_pending_ = false; // true while a poll of the queue is scheduled
    std::optional<level_controller> level_;
    std::unordered_map<std::uint64_t, job_ptr> jobs_;
    std::unordered_map<call_id, std::uint64_t> queue_ids_;
    std::uint64_t next_queue_id_ = 1;
    std::shared_ptr<claim_client> claim_client_;
    std::vector<interrupted_call> interrupted_calls_;
    duration_metric queue_time_;
    duration_metric server_time_;
    bool probe_running_ = false;
};

} // namespace fescueridge::detail
