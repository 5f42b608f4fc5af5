#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/quarantine_record.hpp"

namespace fescueridge
{

/// Returns the fingerprint of a request, which is equal for all its resends.
fingerprint fingerprint_of(const service_name& service, const std::string& method,
                           const std::string& path, const std::string& body);

/// The request is not suspected and runs beside other calls.
struct run_normally
{
};

/// The request is suspected because it was running when a backend server crashed. It must
/// run without other calls beside it.
struct run_alone
{
};

/// The request is quarantined and must be refused.
struct refuse_quarantined
{
};

using quarantine_decision = std::variant<run_normally, run_alone, refuse_quarantined>;

/// Requests of a service that are suspected of crashing backend servers. Thread safe.
class quarantine_table
{
public:
    /// Time after the last attempt at which a record expires.
    static constexpr milliseconds retention = std::chrono::hours{24};

    /// `capacity` bounds the number of records. A new record replaces the one whose last
    /// attempt is oldest.
    explicit quarantine_table(std::size_t capacity = 50'000);
    ~quarantine_table();
    quarantine_table(const quarantine_table&) = delete;
    quarantine_table& operator=(const quarantine_table&) = delete;

    /// Records the requests that were running on a server when it crashed. `alone` is
    /// true if the only request ran in exclusive mode. Returns the changed records, to be
    /// sent to other nodes.
    std::vector<quarantine_record>
    on_server_crash(const std::vector<fingerprint>& running, incarnation server,
                    bool alone, std::int64_t wall_now_ms);

    /// Returns how a request must be handled. Updates the last attempt of its record, if
    /// there is one.
    quarantine_decision classify(fingerprint request, std::int64_t wall_now_ms);

    /// Records a completed run, which clears the crashes so far. Returns the record if it
    /// changed, to be sent to other nodes.
    std::vector<quarantine_record> on_completed(fingerprint request);

    /// Merges a record from another node or from the log.
    void merge(const quarantine_record& record);

    /// Returns all records, for the log and for requests by other nodes.
    std::vector<quarantine_record> records() const;

    /// Removes expired records.
    void expire(std::int64_t wall_now_ms);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
