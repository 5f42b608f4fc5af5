#pragma once

#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"

namespace fescueridge::gateway
{

/// Finds requests that crash the backend servers running them. A request that was running
/// at three crashes, with no completed run in between, is quarantined.
class crash_suspects
{
public:
    /// Crashes after which a request is quarantined.
    static constexpr std::size_t crash_limit = 3;

    /// Time after its last crash for which a request remains recorded.
    static constexpr milliseconds retention{120'000};

    /// Records that the connection of a run was closed without an answer.
    void on_connection_cut(fingerprint request, time_point now);

    /// Records that the server crashed and returns the requests that it was running.
    std::vector<suspect_message> on_crash(std::uint64_t crash, time_point now);

    /// Records a suspect reported by another node.
    void on_suspect(const suspect_message& suspect, time_point now);

    /// Clears a request after a completed run.
    void on_completed(fingerprint request);

    bool quarantined(fingerprint request, time_point now) const;

    /// Returns the crashes of the requests that ran at several, for a new process.
    std::vector<suspect_message> repeated(time_point now) const;

    /// Returns whether no request is suspected, which saves callers from computing
    /// fingerprints.
    bool empty() const noexcept { return records_.empty(); }

private:
    struct record
    {
        std::set<std::uint64_t> crashes;
        time_point last_crash{};
    };

    std::deque<std::pair<time_point, fingerprint>> cut_runs_;
    std::unordered_map<fingerprint, record> records_;
};

} // namespace fescueridge::gateway
