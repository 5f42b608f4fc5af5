#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/overload/admission.hpp"
#include "fescueridge/overload/rank.hpp"

namespace fescueridge
{

/// Update interval of a node's admission level.
constexpr milliseconds level_interval{50};

/// Controls the admission level of the node's own service. The level admits slightly more
/// calls than the backend server can serve, which keeps the slots in use while the queue
/// drops few calls. Not thread safe: used under the lock of the admission queue.
class level_controller
{
public:
    explicit level_controller(service_name service);

    /// Counts an arriving call and returns whether its rank is below the level.
    bool admit(const root_class& call_class, std::uint16_t fraction);

    /// Updates the level from the queue statistics; to be called every level_interval.
    void update(const queue_window& window, time_point now);

    /// Returns the level to be attached to replies.
    admission_level level() const;

    /// Returns the position of the level; open_position admits every call.
    std::uint32_t position() const noexcept { return position_; }

private:
    void update_demand(double seconds);
    void update_queue_measurements(const queue_window& window, double seconds);
    void update_target_rate(const queue_window& window);
    double capacity(const queue_window& window) const;
    std::uint32_t position_for(double rate) const;
    double total_demand() const;
    double admitted_share(std::uint32_t index) const;

    service_name service_;
    std::uint32_t position_ = open_position;
    std::optional<double>
        target_rate_;            // admitted calls per second; empty if unrestricted
    double served_rate_ = 0;     // finished calls per second, smoothed
    double drop_share_ = 0;      // share of admitted calls that the queue dropped
    double immediate_share_ = 1; // share of started calls that started on arrival
    std::optional<time_point> last_update_;
    std::array<double, class_count> class_demand_{};          // calls per second
    std::array<std::uint32_t, class_count> arrivals_below_{}; // arrivals below the level
    std::array<std::uint32_t, class_count>
        arrivals_above_{}; // arrivals at or above the level
    std::uint32_t admitted_count_ = 0;
    // Consecutive windows with drops or high queueing delay of priority 0.
    std::uint32_t degraded_top_priority_windows_ = 0;
};

/// The root request is admitted.
struct root_admitted
{
    bool probe = false; ///< Admitted over the level to refresh an outdated report.
};

/// The root request is refused because a service that it probably calls would refuse it.
struct root_refused
{
    service_name service;          ///< Service whose level caused the refusal.
    admission_level level;         ///< Level of that service, for the explain token.
    bool by_entry_service = false; ///< That service is the entry service itself.
};

using root_decision = std::variant<root_admitted, root_refused>;

/// Decayed level of a service and the time since its last report.
struct reported_level
{
    admission_level level;
    milliseconds age{0};
};

/// Admission levels of other services, as reported in replies, and the services called by
/// the root requests of each (entry service, path prefix). Thread safe.
class pressure_table
{
public:
    pressure_table();
    ~pressure_table();
    pressure_table(const pressure_table&) = delete;
    pressure_table& operator=(const pressure_table&) = delete;

    /// Records the levels of a reply. For each service and root class the table keeps the
    /// admitted fraction averaged over replies, so servers are weighted by their reply
    /// rate.
    void observe_levels(const std::vector<admission_level>& levels, time_point now);

    /// Records the services called by a root request, from the levels of its reply. The
    /// weights of the other services decrease only if the answer is complete.
    void observe_root(const service_name& entry, const std::string& path,
                      const std::vector<admission_level>& called, bool complete);

    /// Admits or refuses a root request. It is refused if its rank is not below the level
    /// of the entry service, or of a service called by at least half of the root requests
    /// with the same entry service and path prefix.
    root_decision decide(std::uint16_t fraction, const root_class& call_class,
                         const service_name& entry, const std::string& path,
                         time_point now);

    /// Returns true if the service, or one that it probably calls, refuses part of its
    /// calls and therefore has no spare slots for hedges.
    bool under_pressure(const service_name& service, const std::string& path,
                        time_point now) const;

    /// Returns the averaged, decayed level of a service, or nothing without a report.
    std::optional<admission_level> level(const service_name& service,
                                         time_point now) const;

    /// Returns all decayed levels, for the operator port.
    std::vector<reported_level> levels(time_point now) const;

    /// Removes levels without a report for `age`, which bounds the size of the table.
    void expire(time_point now, milliseconds age = milliseconds{60'000});

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
