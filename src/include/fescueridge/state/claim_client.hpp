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
#include "fescueridge/state/checkpoint_timer.hpp"
#include "fescueridge/state/claims.hpp"
#include "fescueridge/state/stream_follower.hpp"
#include "fescueridge/state/table_loss_timer.hpp"

namespace fescueridge
{

/// The call holds its key. It may be dispatched once confirm_dispatch() has returned
/// true.
struct claim_granted
{
};

/// Another call holds the key; the outcome is unknown.
struct claim_key_in_use
{
    bool done = false; ///< Fescue-Key-State is done if true, in_doubt otherwise.
};

/// No decision was made in time. The call did not run and will not run.
struct claim_unavailable
{
};

using claim_result = std::variant<claim_granted, claim_key_in_use, claim_unavailable>;

struct claim_client_options
{
    service_name service;
    incarnation node;
    milliseconds remember_time{std::chrono::hours(24 * 7)};
    milliseconds retention{0}; ///< Retention of the log service; 0 disables checkpoints.
    /// Longest wait for a decision. Section 6.2 of the design requires an answer in under
    /// 1 s.
    milliseconds decision_timeout{900};
    milliseconds append_timeout{900};
    /// Shortest time between two appends of this node. The log service accepts several
    /// hundred appends per second for the whole fleet.
    milliseconds append_interval{20};
    /// Longest time that a done entry waits to be appended together with a claim.
    milliseconds max_done_delay{500};
    follow_options follow; ///< The client sets the stream name.
};

/// Claims idempotency keys for the calls of one service. Callbacks run on the client's
/// threads without locks held and must not block. Thread-safe.
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

    /// Claims a key. The callback runs exactly once, or never if abandon() is called
    /// first. A call id is never reused.
    void acquire(const idempotency_key& key, const call_id& call, milliseconds time_left,
                 callback on_decision);

    /// Must be called immediately before dispatch. Returns false if the claim is not
    /// held, was abandoned or is past its deadline; the call must then not be dispatched,
    /// and its outcome is not run.
    bool confirm_dispatch(const call_id& call, time_point now);

    /// Records that a dispatched call has ended.
    void finish(const call_id& call);

    /// Abandons a call. Returns true if it will never be dispatched (outcome not run),
    /// and false if confirm_dispatch() came first or the call is unknown.
    bool abandon(const call_id& call);

    /// Releases the claim of a call in any stage, even after confirm_dispatch(). The
    /// owner of the call must guarantee that nothing of it was or will be sent to a
    /// backend server. The key becomes free again.
    void release(const call_id& call);

    /// Sets how long the keys of later claims are remembered.
    void set_remember_time(milliseconds remember_time);

    /// Returns true if keys can be claimed: the table is complete and known.
    bool ready() const;

    /// Answers all waiting calls as unavailable and ends the threads. Makes a last
    /// attempt to append the outstanding release and done entries.
    void stop();

private:
    enum class call_stage
    {
        queued,    ///< Not appended; can be dropped without a release entry.
        sent,      ///< May be in the log; not decided.
        granted,   ///< Not dispatched.
        dispatched ///< Can no longer be abandoned.
    };
    struct pending_call
    {
        key_hash key;
        call_stage stage = call_stage::queued;
        time_point decide_by;
        time_point dispatch_by;
        callback on_decision;
    };
    using call_map = std::unordered_map<call_id, pending_call>;

    void run_writer();
    void run_timer();
    std::vector<claim_entry> dequeue_claims(time_point now);
    bool append_batch(const std::vector<claim_entry>& claims);
    void reject_claims(const std::vector<claim_entry>& claims);
    void release_claim(call_map::iterator found);
    void release_undispatched_claims(std::vector<callback>& refused_callbacks);
    void append_remaining_entries();
    void expire_calls(time_point now, std::vector<callback>& refused_callbacks);
    std::optional<time_point> next_deadline() const;
    void on_page(const log_page& page);
    void on_truncated(log_offset oldest);
    void deliver_decisions(const std::vector<claim_decision>& decisions);
    void append_checkpoint_if_due();
    void append_table_lost_if_due(const log_page& page);
    void on_read_fault(const error& problem);
    bool can_decide() const;
    void report_fault(const std::string& name, const std::string& reason) const;

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
    milliseconds remember_time_;
    call_map calls_;
    std::vector<call_id> queued_calls_;
    std::vector<release_entry> release_entries_;
    std::vector<done_entry> done_entries_;
    std::optional<time_point> done_entries_due_;
    checkpoint_timer checkpoint_timer_;
    table_loss_timer table_loss_timer_;
    claims_state state_;
    std::optional<stream_follower> follower_;
    std::thread writer_;
    std::thread timer_;
};

} // namespace fescueridge
