#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/state/carry_timer.hpp"
#include "fescueridge/state/claims.hpp"
#include "fescueridge/state/lost_table_timer.hpp"
#include "fescueridge/state/stream_follower.hpp"

namespace fescueridge
{

/// The call holds its key and may be dispatched after confirm_dispatch().
struct claim_won
{
};

/// The key belongs to another call: outcome unknown.
struct claim_key_in_use
{
    bool done = false; ///< Fescue-Key-State: done, otherwise in_doubt.
};

/// No decision in time: the call did not run and will not run.
struct claim_unavailable
{
};

using claim_result = std::variant<claim_won, claim_key_in_use, claim_unavailable>;

struct claim_client_options
{
    service_name service;
    incarnation node;
    milliseconds remember{std::chrono::hours(24 * 7)};
    milliseconds retention{0}; ///< Of the log service; zero carries nothing forward.
    /// Longest wait for a decision; section 6.2 asks for an answer in under 1 s.
    milliseconds decision_timeout{900};
    milliseconds append_timeout{900};
    /// Shortest time between two appends of this node. The log takes several hundred
    /// appends a second for the whole fleet.
    milliseconds append_interval{20};
    /// Longest time that a done waits for a claim to be appended with it.
    milliseconds done_delay{500};
    follow_options follow; ///< The stream name is set by the client.
};

/// Claims keys for the calls of one service. Callbacks run on the client's threads
/// without locks held and must not block. Safe for use from several threads.
class claim_client
{
public:
    using callback = std::function<void(const claim_result&)>;
    using fault_handler =
        std::function<void(const std::string& name, const std::string& reason)>;

    claim_client(log_service& log, claim_client_options options,
                 fault_handler on_fault = {});
    ~claim_client();
    claim_client(const claim_client&) = delete;
    claim_client& operator=(const claim_client&) = delete;

    /// Claims a key. The callback is called exactly once unless abandon() comes first,
    /// then never. Call ids are never reused.
    void acquire(const idempotency_key& key, const call_id& call, milliseconds time_left,
                 callback done);

    /// Must be called right before dispatch. Returns false if the claim is not held, was
    /// abandoned or its time has passed; the call must then not be dispatched and its
    /// outcome is not run.
    bool confirm_dispatch(const call_id& call, time_point now);

    /// The dispatched call has ended.
    void finish(const call_id& call);

    /// Gives a call up. Returns true if it will never be dispatched (not run), and false
    /// if confirm_dispatch() came first or the call is not known.
    bool abandon(const call_id& call);

    /// Gives a call up whatever its state: the owner knows that nothing of it was sent to
    /// a backend server and that nothing will be. The key becomes free again.
    void release(const call_id& call);

    /// Sets the time for which keys of later claims are remembered.
    void set_remember(milliseconds remember);

    /// Returns true if the table is complete and known, so keys can be claimed.
    bool ready() const;

    /// Answers everything that waits as unavailable and ends the threads. Appends
    /// outstanding voids and dones once more.
    void stop();

private:
    enum class stage
    {
        queued,    ///< Not sent; can be dropped without a trace.
        sent,      ///< May be in the log, not decided.
        won,       ///< Decided, not dispatched.
        dispatched ///< Out of reach of abandon().
    };
    struct pending_call
    {
        key_hash key;
        stage at = stage::queued;
        time_point decide_by;
        time_point dispatch_by;
        callback done;
    };
    using calls = std::unordered_map<call_id, pending_call>;

    void run_writer();
    void run_timer();
    std::vector<claim_entry> take_queued(time_point now);
    bool append_batch(const std::vector<claim_entry>& claims);
    void drop_claims(const std::vector<claim_entry>& claims);
    void give_up(calls::iterator found);
    void give_up_all(std::vector<callback>& refused);
    void append_last();
    void expire(time_point now, std::vector<callback>& refused);
    std::optional<time_point> next_deadline() const;
    void on_page(const log_page& page);
    void on_truncated(log_offset oldest);
    void decide(const std::vector<claim_decision>& decisions);
    void carry_if_due();
    void tell_lost_if_due(const log_page& page);
    void on_read_fault(const error& problem);
    bool can_decide() const;
    void report(const std::string& name, const std::string& reason) const;

    log_service& log_;
    const claim_client_options options_;
    const std::string stream_;
    const fault_handler on_fault_;
    random_engine random_;
    mutable std::mutex mutex_;
    std::condition_variable writer_wake_;
    std::condition_variable timer_wake_;
    bool stopping_ = false;
    bool caught_up_ = false;
    milliseconds remember_;
    calls calls_;
    std::vector<call_id> queue_;
    std::vector<void_entry> voids_;
    std::vector<done_entry> dones_;
    std::optional<time_point> done_due_;
    carry_timer carry_timer_;
    lost_table_timer lost_timer_;
    claims_state state_;
    std::optional<stream_follower> follower_;
    std::thread writer_;
    std::thread timer_;
};

} // namespace fescueridge
