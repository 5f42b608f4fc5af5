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

/// Interval at which a node updates the admission level of its own service.
constexpr milliseconds level_interval{50};

/// Finds the admission level of the own service: the level that admits slightly more than
/// the backend server serves, so that its slots stay in use and few calls are dropped
/// from the queue. Not thread safe: used under the lock of the admission queue.
class level_controller
{
public:
    explicit level_controller(service_name service);

    /// Counts an arriving call and returns whether its rank lies below the level.
    bool admit(const root_class& of, std::uint16_t fraction);

    /// Updates the level from what the queue saw; call it every level_interval.
    void update(const queue_window& window, time_point now);

    /// Returns the level to put on replies.
    admission_level level() const;

    /// Returns the position of the level, open_position when everything is admitted.
    std::uint32_t position() const noexcept { return position_; }

private:
    void update_demand(double seconds);
    void update_signals(const queue_window& window, double seconds);
    void update_target(const queue_window& window);
    double capacity(const queue_window& window) const;
    std::uint32_t position_for(double rate) const;
    double total_demand() const;
    double share_admitted(std::uint32_t index) const;

    service_name service_;
    std::uint32_t position_ = open_position;
    std::optional<double> target_; // admitted calls per second; none: open
    double served_ = 0;            // calls per second, smoothed
    double excess_ = 0;            // share of admitted calls that the queue dropped
    double at_once_ = 1;           // share of started calls that found a free slot
    std::optional<time_point> last_update_;
    std::array<double, class_count> demand_{};       // calls per second
    std::array<std::uint32_t, class_count> under_{}; // arrivals below the level
    std::array<std::uint32_t, class_count> over_{};  // arrivals above it
    std::uint32_t admitted_ = 0;
    std::uint32_t top_pressure_ = 0; // consecutive windows in which priority 0 suffered
};

/// The root may go on.
struct root_admitted
{
    bool probe = false; ///< Let through to refresh an old level.
};

/// The root is refused because a service that it would touch would refuse it.
struct root_refused
{
    service_name service;  ///< The deciding service.
    admission_level level; ///< Its level, for the explain token.
    bool entry = false;    ///< The deciding service is the entry service itself.
};

using root_decision = std::variant<root_admitted, root_refused>;

/// An aged level of a service, and the time since the last report of it.
struct reported_level
{
    admission_level level;
    milliseconds age{0};
};

/// Admission levels of other services, learned from replies, and the services that the
/// calls of each (entry service, path prefix) touch. Thread safe.
class pressure_table
{
public:
    pressure_table();
    ~pressure_table();
    pressure_table(const pressure_table&) = delete;
    pressure_table& operator=(const pressure_table&) = delete;

    /// Takes over the levels of a reply. Levels of several servers of one service are
    /// combined: the table holds for each root class the mean admitted fraction, weighted
    /// by the number of replies.
    void observe(const std::vector<admission_level>& levels, time_point now);

    /// Records the services that an entry call touched, from the levels of its reply.
    /// Only a complete answer lowers the weights of the services that it did not touch.
    void observe_root(const service_name& entry, const std::string& path,
                      const std::vector<admission_level>& touched, bool complete);

    /// Decides on a root. Refuses it when its rank is over the level of the entry service
    /// or of a service that at least half of such roots touched.
    root_decision decide(std::uint16_t fraction, const root_class& of,
                         const service_name& entry, const std::string& path,
                         time_point now);

    /// Returns true when the service or one that its calls likely touch refuses a part of
    /// its calls, so that it has no slots to spare for hedges.
    bool under_pressure(const service_name& service, const std::string& path,
                        time_point now) const;

    /// Returns the combined and aged level of a service; nothing when none is known.
    std::optional<admission_level> level(const service_name& service,
                                         time_point now) const;

    /// Returns all known levels, aged, for the operator port.
    std::vector<reported_level> levels(time_point now) const;

    /// Forgets levels without a report for `age`, and bounds the memory of the table.
    void expire(time_point now, milliseconds age = milliseconds{60'000});

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
