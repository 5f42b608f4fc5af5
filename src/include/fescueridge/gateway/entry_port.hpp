#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/duration_histogram.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/gateway/admission_plan.hpp"
#include "fescueridge/gateway/origin_tracker.hpp"
#include "fescueridge/gateway/peers.hpp"
#include "fescueridge/gateway/placement.hpp"
#include "fescueridge/gateway/retry_share.hpp"
#include "fescueridge/gateway/return_detector.hpp"
#include "fescueridge/gateway/run_executor.hpp"
#include "fescueridge/transport/http_server.hpp"

namespace fescueridge::gateway
{

/// Counts of received requests and of their outcomes.
struct entry_counters
{
    std::uint64_t received = 0;
    std::uint64_t calls_of_server = 0;
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
class entry_port
{
public:
    entry_port(asio::io_context& io, const node_settings& settings,
               const wire_format& wire, decision_log& decisions, peers& node_peers,
               run_executor& executor);
    ~entry_port();
    entry_port(const entry_port&) = delete;
    entry_port& operator=(const entry_port&) = delete;

    /// Processes a request; the answer is sent through `exchange`.
    void handle(http_request request, std::shared_ptr<http_exchange> exchange);

    /// Sets the routing configuration for requests that arrive from now on.
    void use(std::shared_ptr<const route_table> table) { table_ = std::move(table); }

    /// Rejects requests of clients from now on, because the process may end before they
    /// complete. Calls of running requests are still admitted.
    void refuse_clients() { refuses_clients_ = true; }

    /// Sets the service that is stated as the caller of requests received by this node.
    void set_caller(const service_name& caller) { caller_ = caller; }

    /// Recomputes the admitted shares; call it every 100 ms.
    void update_shares();

    /// Sets the calls and server-called routes that earlier processes found. They apply
    /// until nodes report calls of the same routes.
    void remember_calls(const std::vector<call_edge>& edges);

    /// Returns the calls between routes, averaged over the reports of all nodes.
    const std::vector<call_edge>& calls() const noexcept { return edges_; }

    /// Returns the arrival rates of each route, for reports.
    std::vector<route_arrivals> arrivals() const;

    std::size_t open_requests() const noexcept { return requests_.size(); }
    const entry_counters& counters() const noexcept { return counters_; }
    const request_latencies& latencies() const noexcept { return latencies_; }
    const request_thinner& shares() const noexcept { return thinner_; }

private:
    struct request_state;
    using request_ptr = std::shared_ptr<request_state>;

    void begin(const request_ptr& request, http_request&& raw);
    bool may_begin(const request_ptr& request);
    void place(const request_ptr& request);
    std::vector<placement_candidate> candidates(const request_state& request) const;
    placement_candidate own_candidate() const;
    placement_candidate candidate_of(const peer& other) const;
    void send(const request_ptr& request, const node_id& node);
    void on_reply(const request_ptr& request, forward_reply_message reply);
    void on_not_run(const request_ptr& request, const forward_reply_message& reply);
    bool try_again(const request_ptr& request, const char* cause);
    void deliver(const request_ptr& request, forward_reply_message reply);
    void reject(const request_ptr& request, rejection reason);
    void answer(const request_ptr& request, request_outcome outcome,
                http_response response);
    void on_timeout(const request_ptr& request);
    void on_client_left(const request_ptr& request);
    void withdraw(const request_ptr& request);
    void end(const request_ptr& request);
    milliseconds retry_after(const request_state& request);
    std::map<service_name, double> downstream_calls(const route_name& route) const;
    void log_request(log_event event, const request_state& request, log_weight weight,
                     std::vector<event_field> more);
    void log_shares(const std::vector<class_demand>& demands,
                    const service_capacity& capacity, const class_shares& shares);
    void count_arrival(const admission_class& request_class);

    asio::io_context& io_;
    const node_settings& settings_;
    const wire_format& wire_;
    decision_log& decisions_;
    peers& peers_;
    run_executor& executor_;
    service_name caller_;
    bool refuses_clients_ = false;
    std::shared_ptr<const route_table> table_;
    std::unordered_map<route_name, weighted_picker> pickers_;
    std::unordered_map<std::uint64_t, request_ptr> requests_;
    std::uint64_t next_number_ = 0;
    random_engine random_;
    retry_share retries_;
    request_thinner thinner_;
    std::map<service_name, capacity_trim> trims_;
    std::vector<call_edge> edges_;
    std::vector<call_edge> remembered_;
    origin_tracker origins_;
    struct arrival_meter
    {
        double count = 0; ///< Requests since the last update.
        double per_s = 0;
    };
    std::map<admission_class, arrival_meter> arrivals_;
    return_detector returns_;
    time_point last_update_{};
    time_point next_shares_line_{};
    bool all_admitted_ = false; ///< Logged in the last line about shares.
    failure_share own_failures_;
    entry_counters counters_;
    request_latencies latencies_;
};

} // namespace fescueridge::gateway
