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

/// One call on its way through the executor.
struct job
{
    std::uint64_t number = 0;
    call_message call;
    local_executor::reply_callback done;
    std::shared_ptr<call_context> context;
    fingerprint request;
    bool alone = false;
    std::shared_ptr<claim_client> claim; ///< Holds a claim, unless null.
    http_call_handle handle;
    stopwatch arrived;
    std::optional<stopwatch> at_server; ///< Set once the call was sent to the server.
    bool cancelled = false;
};

using job_ptr = std::shared_ptr<job>;

/// A call that was cut off and waits for the verdict whether the server died.
struct cut_call
{
    job_ptr work;
    http_failure failure;
};

/// State and steps of a server_executor. Every step takes the lock for its own change and
/// releases it before it calls into another module.
class executor_core : public std::enable_shared_from_this<executor_core>
{
public:
    explicit executor_core(executor_ports ports);

    void execute(call_message call, local_executor::reply_callback done);
    void cancel(const call_id& id);
    void announce(const server_announcement& server);
    void drain();
    void lose_server();
    void use_claims(std::shared_ptr<claim_client> claims);
    void update_level();
    std::optional<admission_level> level() const;
    executor_load load() const;
    std::size_t in_flight() const;

private:
    /// What the sheet says of a call.
    struct rule_verdict
    {
        std::optional<refusal_reason> refused;
        bool at_most_once = false;
    };

    // Admission.
    rule_verdict check_rule(const call_message& call) const;
    std::optional<refusal_reason> check_server(const call_message& call) const;
    bool passes_level(const call_message& call);
    void claim_key(const job_ptr& work);
    void enqueue(const job_ptr& work);
    void apply(const queue_changes& changes);
    void poll_later();
    void poll();
    std::vector<job_ptr> find_jobs(const std::vector<std::uint64_t>& numbers) const;
    void refuse_dropped(const dropped_call& dropped);

    // Running.
    void dispatch(const job_ptr& work);
    http_request make_request(const job& work) const;
    void on_result(const job_ptr& work, http_result result);
    void on_response(const job_ptr& work, http_response response);
    void on_failure(const job_ptr& work, const http_failure& failure);
    void leave_queue(const job_ptr& work, bool success);

    // Death of the server.
    void investigate_cut(const job_ptr& work, const http_failure& failure);
    void on_probe(bool alive);
    void fail_cut_calls(const std::vector<cut_call>& cut);
    void strike(const std::vector<job_ptr>& running, incarnation server);
    std::vector<cut_call> take_cut_calls();

    // Ends.
    void refuse(const job_ptr& work, refusal_reason reason, outcome result);
    void finish(const job_ptr& work, reply_message reply);

    executor_ports ports_;
    mutable std::mutex mutex_;
    std::optional<server_announcement> server_;
    bool draining_ = false;
    std::shared_ptr<http_client_pool> pool_;
    admission_queue queue_;
    bool poll_pending_ = false; // true whenever calls wait in the queue
    std::optional<level_controller> level_;
    std::unordered_map<std::uint64_t, job_ptr> jobs_;
    std::unordered_map<call_id, std::uint64_t> numbers_;
    std::uint64_t next_number_ = 1;
    std::shared_ptr<claim_client> claims_;
    std::vector<cut_call> cut_calls_;
    duration_metric waited_;
    duration_metric served_;
    bool probing_ = false;
};

} // namespace fescueridge::detail
