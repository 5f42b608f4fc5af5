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

/// Returns the fingerprint of a request, the same for all resends of it.
fingerprint fingerprint_of(const service_name& service, const std::string& method,
                           const std::string& path, const std::string& body);

/// The request is not suspected.
struct run_normally
{
};

/// The request was running when a backend server died: no other call may run with it.
struct run_alone
{
};

/// The request is refused as quarantined.
struct refuse_quarantined
{
};

using suspicion = std::variant<run_normally, run_alone, refuse_quarantined>;

/// Suspected requests of a service. Thread safe.
class suspicion_table
{
public:
    /// Time after the last attempt at which a record is forgotten.
    static constexpr milliseconds memory = std::chrono::hours{24};

    /// `capacity` bounds the number of records; the oldest are forgotten first.
    explicit suspicion_table(std::size_t capacity = 50'000);
    ~suspicion_table();
    suspicion_table(const suspicion_table&) = delete;
    suspicion_table& operator=(const suspicion_table&) = delete;

    /// Records the requests that ran on a server when it died. `alone` says that the one
    /// request ran in exclusive mode. Returns the changed records, to pass on.
    std::vector<quarantine_record>
    on_server_death(const std::vector<fingerprint>& running, incarnation server,
                    bool alone, std::int64_t wall_now_ms);

    /// Decides on a request; counts as an attempt if the request is known.
    suspicion classify(fingerprint request, std::int64_t wall_now_ms);

    /// Records a completed run. Returns the changed record, to pass on, if there is one.
    std::vector<quarantine_record> on_completed(fingerprint request);

    /// Merges a record of another node or of the log.
    void merge(const quarantine_record& record);

    /// Returns all records, for the log and for a node that asks.
    std::vector<quarantine_record> records() const;

    /// Forgets expired records.
    void expire(std::int64_t wall_now_ms);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
