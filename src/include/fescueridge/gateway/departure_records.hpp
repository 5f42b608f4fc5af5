#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/gateway/decision_log.hpp"
#include "fescueridge/gateway/keyed_log.hpp"
#include "fescueridge/gateway/server_tracker.hpp"
#include "fescueridge/gateway/settings.hpp"

namespace fescueridge::gateway
{

/// Stores the departures of the server beside this node in the platform's log, where they
/// outlast every process, and reads back those that earlier processes of this node have
/// stored. Failed operations are repeated until they succeed.
///
/// A record states one departure and never changes, so it does not matter how late and in
/// which order appends without an answer take effect.
class departure_records
{
public:
    /// Receives the departures that earlier processes have stored.
    using listed_callback = std::function<void(const std::vector<departed_start>&)>;

    /// Receives whether every departure is stored.
    using stored_callback = std::function<void(bool)>;

    departure_records(const node_settings& settings, keyed_log& log,
                      decision_log& decisions, listed_callback on_listed);

    /// Starts to list the stored departures.
    void start();

    /// Stores a departure.
    void store(const departed_start& departure);

    /// Calls `done` as soon as every departure is stored, possibly before it returns, and
    /// at the latest after `timeout`.
    void when_stored(milliseconds timeout, stored_callback done);

    /// Repeats failed operations and ends waits that are over; call it several times per
    /// second.
    void poll(time_point now);

    /// Stores all departures again, because the log was restored from an earlier copy.
    void on_log_restored();

    /// Returns the number of departures that are not stored yet, for metrics.
    std::size_t waiting() const;

private:
    enum class record_state : std::uint8_t
    {
        waiting,
        appending,
        stored
    };

    struct wait
    {
        time_point deadline;
        stored_callback done;
    };

    void list(const std::string& after);
    void on_page(const newest_page& page);
    void add_record(const keyed_record& record);
    void on_listed();
    void append(const departed_start& departure);
    void on_appended(const departed_start& departure,
                     const log_result<append_receipt>& result);
    void on_failure(const char* operation, const log_failure& failure);
    void remove_surplus();
    void remove_one_expired();
    void remove(const std::string& key);
    void end_waits();
    std::string key_of(const departed_start& departure) const;

    const node_settings& settings_;
    keyed_log& log_;
    decision_log& decisions_;
    listed_callback on_listed_;
    random_engine random_;
    std::map<departed_start, record_state> departures_; ///< Of this node's server.
    std::vector<std::string> expired_keys_; ///< Of any node, found by the listing.
    std::vector<wait> waits_;
    milliseconds timeout_;
    time_point next_attempt_{};
    bool listed_ = false;
    bool listing_ = false;
};

} // namespace fescueridge::gateway
