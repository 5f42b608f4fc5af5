#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/duration_histogram.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/gateway/admission_plan.hpp"
#include "fescueridge/gateway/client_retry_detector.hpp"
#include "fescueridge/gateway/node_retry_budget.hpp"
#include "fescueridge/gateway/origin_tracker.hpp"
#include "fescueridge/gateway/peers.hpp"
#include "fescueridge/gateway/placement.hpp"
#include "fescueridge/gateway/quota_gate.hpp"
#include "fescueridge/gateway/retry_supply.hpp"
#include "fescueridge/gateway/run_executor.hpp"
#include "fescueridge/transport/http_server.hpp"

namespace fescueridge::gateway
{

class fleet_view;

/// Counts of received requests and of their outcomes.
struct router_counters
{
    std::uint64_t received = 0;
    std::uint64_t server_calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t abandoned = 0; ///< The client disconnected before the answer.
    std::uint64_t retried = 0;
    std::map<rejection, std::uint64_t> rejected;
};

/// Outcome of a request, for metrics.
enum class request_outcome : std::uint8_t
{
    answered, ///< Answered by a server with a status below 500.
    failed,   ///< Answered with another status, or possibly run without an answer.
    refused   ///< Not run.
};

/// Returns the name of an outcome in metrics; stable across versions.
std::string_view to_string(request_outcome value) noexcept;

/// Times from the arrival of a request to its answer, by service and outcome.
using request_latencies =
    std::map<std::pair<service_name, request_outcome>, duration_histogram>;

/// Receives the requests of clients and of the backend server on this VM, admits or
/// rejects them, forwards them to backend servers and returns the answers. Used from one
/// io thread.
class request_router
{
public:
    request_router(asio::io_context& io, const node_settings& settings,
                   const wire_format& wire, decision_log& decisions, peers& node_peers,
                   run_executor& executor);
    ~request_router();
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    /// Processes a request; the answer is sent through `exchange`.
    void handle(http_request request, std::shared_ptr<http_exchange> exchange);

    /// Sets the routing configuration for requests that arrive from now on.
    void set_route_table(std::shared_ptr<const route_table> table);

    /// Sets the time since it was certain that the configuration is the newest one.
    void set_config_age(std::function<milliseconds()> config_age)
    {
        config_age_ = std::move(config_age);
    }

    /// Rejects requests of clients from now on, because the process may end before they
    /// complete. A call of a running request is still admitted if its time is over before
    /// `answers_end`, when answer_all() is called: what was begun is not broken off.
    void reject_clients(time_point answers_end) { answers_end_ = answers_end; }

    /// Takes back the requests that wait for a server and places none from now on: they
    /// end as not run. Requests at a server go on.
    void recall_waiting();

    /// Answers every open request, because the process ends. Those that may have run get
    /// no promise.
    void answer_all();

    /// Sets the service that is stated as the caller of requests received by this node.
    void set_caller(const service_name& caller) { caller_ = caller; }

    /// Recomputes the admitted shares; call it every 100 ms.
    void update_shares();

    /// Sets the calls and server-called routes that earlier processes found. They apply
    /// until nodes report calls of the same routes.
    void set_initial_calls(const std::vector<call_edge>& edges);

    /// Returns the calls between routes, averaged over the reports of all nodes.
    const std::vector<call_edge>& calls() const noexcept { return edges_; }

    /// Returns the arrival rates of each route, for reports.
    std::vector<route_arrivals> arrivals() const;

    std::size_t open_requests() const noexcept { return requests_.size(); }
    const router_counters& counters() const noexcept { return counters_; }
    const request_latencies& latencies() const noexcept { return latencies_; }
    const load_shedder& shares() const noexcept { return shedder_; }
    quota_gate& quotas() noexcept { return quotas_; }
    const quota_gate& quotas() const noexcept { return quotas_; }

    /// Returns the rank that an entry of arrivals() stands for.
    request_rank rank_of(const route_arrivals& arrivals) const;

private:
    struct request_state;
    using request_ptr = std::shared_ptr<request_state>;

    void begin_request(const request_ptr& request, http_request&& raw);
    std::optional<rejection> identify_tenant(request_state& request,
                                             const std::vector<client_key>& keys);
    request_rank rank_of(const request_state& request) const;
    bool is_server_call(const request_state& request) const;
    bool may_begin(const request_state& request) const;
    void watch(const request_ptr& request, milliseconds time);
    void take_quota(const request_ptr& request);
    void on_quota_decided(quota_waiter waiter, const quota_decision& decision);
    void on_quota_decision(const request_ptr& request, const quota_decision& decision);
    void return_quota(request_state& request);
    void admit_request(const request_ptr& request);
    bool try_admit(const request_ptr& request);
    void place_request(const request_ptr& request);
    std::vector<placement_candidate> candidates(const request_state& request) const;
    placement_candidate own_candidate(const request_state& request) const;
    placement_candidate candidate_of(const peer& other,
                                     const request_state& request) const;
    void send_attempt(const request_ptr& request, const node_id& node);
    void on_reply(const request_ptr& request, forward_reply_message reply);
    void on_not_run(const request_ptr& request, const forward_reply_message& reply);
    bool try_retry(const request_ptr& request, const char* cause);
    void deliver_answer(const request_ptr& request, forward_reply_message reply);
    void reject(const request_ptr& request, rejection reason);
    void reject_for_stop(const request_ptr& request);
    void answer(const request_ptr& request, request_outcome outcome,
                http_response response);
    void on_timeout(const request_ptr& request);
    void on_client_disconnected(const request_ptr& request);
    void cancel_attempt(const request_ptr& request);
    std::vector<request_ptr> open_request_list() const;
    void end_request(const request_ptr& request);
    milliseconds retry_after(const request_state& request);
    std::map<service_name, double> downstream_calls(const route_name& route) const;
    void log_request(log_event event, const request_state& request, log_category category,
                     std::vector<event_field> extra_fields);
    void log_shares(const std::vector<class_demand>& demands,
                    const service_capacity& capacity, const class_shares& shares,
                    const std::map<service_name, service_rejections>& rejections);
    std::map<service_name, service_rejections>
    service_rejections_of(const fleet_view& fleet,
                          const std::vector<class_demand>& demands, time_point now);
    void count_arrival(const admission_class& request_class);
    std::optional<request_rank> reported_rank(const admission_class& request_class) const;

    asio::io_context& io_;
    const node_settings& settings_;
    const wire_format& wire_;
    decision_log& decisions_;
    peers& peers_;
    run_executor& executor_;
    service_name caller_;
    std::optional<time_point> answers_end_; ///< Set by reject_clients().
    bool placing_ = true;                   ///< False from recall_waiting() on.
    std::shared_ptr<const route_table> table_;
    std::unordered_map<route_name, weighted_round_robin> target_pickers_;
    std::unordered_map<std::uint64_t, request_ptr> requests_;
    std::uint64_t next_number_ = 0;
    random_engine random_;
    node_retry_budget retry_budget_;
    quota_gate quotas_;
    std::function<milliseconds()> config_age_;
    load_shedder shedder_;
    std::map<service_name, capacity_correction> corrections_;
    std::vector<call_edge> edges_;
    std::vector<call_edge> initial_edges_;
    std::set<service_name> known_services_; ///< Of which a server was available.
    origin_tracker origins_;
    struct arrival_meter
    {
        double count = 0; ///< Requests since the last update.
        double per_s = 0;
    };
    std::map<admission_class, arrival_meter> arrivals_;
    retry_supply retry_supply_;
    client_retry_detector client_retries_;
    time_point last_update_{};
    time_point last_shares_log_{};
    failure_rate own_failure_rate_;
    router_counters counters_;
    request_latencies latencies_;
};

} // namespace fescueridge::gateway
