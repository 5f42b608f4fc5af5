#pragma once

#include <map>
#include <unordered_map>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/call_graph.hpp"
#include "fescueridge/gateway/window_counter.hpp"

namespace fescueridge::gateway
{

/// This node's part of the retry budget that all nodes share. In each window a node may
/// spend most of the budget's ratio of its own requests, plus an equal part of most of
/// the slack. The shared budget therefore holds without communication between nodes.
class node_retry_budget
{
public:
    node_retry_budget(double ratio, double slack, milliseconds window)
        : ratio_(ratio), slack_(slack), window_(window)
    {
    }

    /// Sets the number of nodes that share the slack.
    void set_node_count(std::size_t nodes) { node_count_ = nodes; }

    /// Keeps the inflow of a service for one window at its mean of the last window,
    /// because fewer requests are admitted while its servers turn requests away. The
    /// shared budget counts the requests of the window before, too. Has no effect while
    /// it is kept and for a window afterwards.
    void keep_inflow(const service_name& service, time_point now);

    /// Returns whether the inflow of a service is kept.
    bool keeps_inflow(const service_name& service, time_point now) const;

    /// Returns the retries per second that nodes with `requests_per_s` may spend.
    double spendable_per_s(double requests_per_s) const;

    /// Records a first request to a service.
    void on_request(const service_name& service, time_point now);

    /// Charges a retry to the budget: one at the service, and `downstream` at the
    /// services that the retried run calls. Returns false, and charges nothing, when one
    /// of them has too few tokens. Retries of server calls (`for_client` false) leave a
    /// reserve for client requests.
    bool try_spend(const service_name& service,
                   const std::map<service_name, double>& downstream, bool for_client,
                   time_point now);

private:
    struct bucket
    {
        double tokens = 0;
        time_point last_refill{};
        window_counter requests;
        double kept_per_s = 0; ///< Requests per second that the inflow is kept at.
        time_point kept_until{};
    };

    bucket& refill_bucket(const service_name& service, time_point now);
    void add_kept_inflow(bucket& filled_bucket, time_point now) const;
    double slack_per_node() const;
    double max_tokens() const;

    double ratio_;
    double slack_;
    milliseconds window_;
    std::size_t node_count_ = 0;
    std::unordered_map<service_name, bucket> buckets_;
};

} // namespace fescueridge::gateway
