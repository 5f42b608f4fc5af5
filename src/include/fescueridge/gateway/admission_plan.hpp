#pragma once

#include <map>
#include <tuple>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/call_graph.hpp"

namespace fescueridge::gateway
{

/// Group of requests that share one admission decision: a route and priority, split into
/// new requests and client retries. A client retry costs as much as a new request but is
/// worth less to its caller, because its answer is already late.
struct admission_class
{
    route_name route;
    request_rank rank; ///< Of the tenant and, within it, of the route.
    bool client_retry = false;

    friend bool operator<(const admission_class& a, const admission_class& b)
    {
        return std::tie(a.route, a.rank, a.client_retry) <
               std::tie(b.route, b.rank, b.client_retry);
    }
    friend bool operator==(const admission_class& a, const admission_class& b)
    {
        return std::tie(a.route, a.rank, a.client_retry) ==
               std::tie(b.route, b.rank, b.client_retry);
    }
};

/// Fraction of the requests of each class to admit, 0 to 1.
using class_shares = std::map<admission_class, double>;

/// Demand of clients for one class, summed over all nodes.
struct class_demand
{
    admission_class request_class;
    double arrivals_per_s = 0;
    service_costs costs;
    /// Probability that a request needs the service at all; 1 for services not listed.
    std::map<service_name, double> need;
    /// Expected number of requests to each service, its own one included.
    std::map<service_name, double> calls;
    /// Its calls need a service of which no server is available, so it can't succeed.
    bool lacks_server = false;
    /// May run more than once, so a failure leaves its caller no worse than a refusal.
    bool idempotent = false;
};

/// Slot time that each service can provide, in milliseconds per second.
using service_capacity = std::map<service_name, double>;

/// A service whose servers turn requests away whatever their load.
struct service_rejections
{
    double share = 0;         ///< Fraction of the requests that they turn away.
    double retries_per_s = 0; ///< Retries that all nodes may spend there.
};

/// Returns the probability that a request succeeds with these calls if none is retried.
double chance_of(const std::map<service_name, double>& calls,
                 const std::map<service_name, service_rejections>& rejections);

/// Returns the fraction of each class to admit so that the load on every service in its
/// call tree stays within that service's capacity. Capacity is allocated by priority, the
/// most important first, and within one priority to new requests before client retries.
/// Classes at the same level share the remaining capacity in proportion to their demand.
/// A class whose requests need a service only at times is not held back by it beyond that
/// part. Nothing is admitted of a class that lacks a server, and it takes no capacity.
///
/// Handles surges in which a service deep in the call graph runs out of slots: rejecting
/// a call there wastes the work already done by the services above it.
///
/// Handles, too, a service in the depth that turns part of its requests away at random: a
/// request with several calls there hardly ever ends well unless its calls are retried.
/// Requests with little chance are admitted as far as the retries that all nodes share
/// cover their calls, by priority, and a small part beyond that shows when the service
/// has recovered. A request with a fair chance is not held back, nor a client retry that
/// may fail without harm: its caller has no further try.
class_shares admitted_shares(std::vector<class_demand> demands, service_capacity capacity,
                             std::map<service_name, service_rejections> rejections = {});

/// Admits a given fraction of the requests of each class, spread evenly over time.
class load_shedder
{
public:
    void set_shares(class_shares shares) { shares_ = std::move(shares); }

    /// Returns whether to admit the next request of a class.
    bool admit(const admission_class& request_class);

    /// Returns the fraction of a class that is admitted; 1 when none is set.
    double share(const admission_class& request_class) const;

private:
    class_shares shares_;
    std::map<admission_class, double> credit_;
};

/// Corrects the computed capacity of a service from its queueing delay, because measured
/// slot times lag behind when a server slows down.
class capacity_correction
{
public:
    /// Time that one step of the correction stands for, in seconds.
    static constexpr double step_s = 0.1;

    /// Updates and returns the factor for the capacity; `steps` is the time since the
    /// last update, in steps. `wait_share` is the mean wait for a slot as a fraction of
    /// the target latency, `use` the fraction of the slots in use. The factor changes
    /// slowly compared to the time from the admission of a request to its calls at deep
    /// services, which avoids oscillation.
    double update(double wait_share, double use, double steps = 1);

    double factor() const noexcept { return factor_; }

private:
    double factor_ = 0.95;
};

} // namespace fescueridge::gateway
