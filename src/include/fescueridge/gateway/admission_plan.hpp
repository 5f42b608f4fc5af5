#pragma once

#include <map>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/call_graph.hpp"

namespace fescueridge::gateway
{

/// Requests of one route that are admitted alike. A request that comes back after an
/// attempt that failed is worth less to its caller than a new one, as its answer is late
/// already, and asks for the same.
struct admission_class
{
    route_name route;
    bool returned = false;

    friend bool operator<(const admission_class& a, const admission_class& b)
    {
        return a.route != b.route ? a.route < b.route : a.returned < b.returned;
    }
    friend bool operator==(const admission_class& a, const admission_class& b)
    {
        return a.route == b.route && a.returned == b.returned;
    }
};

/// Share of each class that may begin.
using class_shares = std::map<admission_class, double>;

/// Demand of clients for one class, over all nodes.
struct class_demand
{
    admission_class of;
    priority rank;
    double arrivals_per_s = 0;
    service_costs costs;
};

/// Slot time that a service can give, in milliseconds a second.
using service_capacity = std::map<service_name, double>;

/// Returns the share of each class that may begin, so that no service along its calls is
/// asked for more than its capacity. Capacity goes to the most important priority first,
/// within one priority to new requests before returned ones; classes of the same rank
/// share what is left in proportion.
///
/// Load that it answers: a surge in which a service deep in the graph runs out of slots,
/// so that a refusal there wastes the work of everything above it.
class_shares admitted_shares(std::vector<class_demand> demands,
                             service_capacity capacity);

/// Applies shares to single requests, evenly over time.
class request_thinner
{
public:
    void set_shares(class_shares shares) { shares_ = std::move(shares); }

    /// Decides on the next request of a class.
    bool admit(const admission_class& of);

    /// Returns the share of a class that is admitted, 1 when nothing is set.
    double share(const admission_class& of) const;

private:
    class_shares shares_;
    std::map<admission_class, double> credit_;
};

/// Corrects the capacity of a service by what its queues show: measured slot times lag
/// behind when a server slows down.
class capacity_trim
{
public:
    /// Takes the mean wait for a slot as a part of the target latencies and
    /// the part of the slots in use, every 100 ms, and returns the factor for the
    /// capacity. It changes slowly against the time from the admission of a request to
    /// its calls at deep services, so that it does not swing.
    double update(double wait_share, double use);

    double factor() const noexcept { return factor_; }

private:
    double factor_ = 0.95;
};

} // namespace fescueridge::gateway
