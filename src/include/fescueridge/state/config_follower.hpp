#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/state/checkpoint_timer.hpp"
#include "fescueridge/state/config_state.hpp"
#include "fescueridge/state/stream_follower.hpp"

namespace fescueridge
{

/// A sheet and the log offset up to which its version was decided.
struct sheet_in_force
{
    sheet_version version;
    log_offset offset;
    std::string content;
    std::string author{};            ///< Empty if not known.
    std::vector<sheet_step> steps{}; ///< From an earlier version in force to this one.
};

struct config_follower_options
{
    follow_options follow{"config"};
    milliseconds retention{0}; ///< Retention of the log service; 0 disables checkpoints.
    milliseconds submit_timeout{8'000};
    milliseconds append_timeout{1'000};
};

struct config_follower_handlers
{
    /// Called when a new version is in force; versions only increase. Calls do not
    /// overlap, and the handler must not call offer().
    std::function<void(const sheet_in_force&)> changed;
    /// Called on a fault of the log, a malformed record or a difference that cannot be
    /// applied. `name` is a stable event name.
    std::function<void(const std::string& name, const std::string& reason)> fault;
};

/// Follows the stream `config`, accepts sheet versions from peers and submits sheets.
/// Thread-safe.
class config_follower
{
public:
    config_follower(log_service& log, config_follower_options options,
                    config_follower_handlers handlers);
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /// Follows the stream if true; otherwise only while a submit waits for its result.
    /// Initially false, since only the reader nodes of a failure domain follow.
    void set_following(bool following);

    /// Offers a sheet received from a peer. Returns true if it is newer and now in force.
    bool offer(const sheet_in_force& sheet);

    /// Returns the sheet in force, or nothing on a new node.
    std::optional<sheet_in_force> current() const;

    /// Returns true once the log was read to its end, even if it contains no sheet.
    bool caught_up() const;

    /// Submits a sheet and waits for the decision. If the answer to the append is lost,
    /// the decision is read back from the log, and the submit is appended again under the
    /// same id. submit_not_seen means that the result is unknown and the submit may still
    /// take effect. Throws log_unavailable_error if it certainly has no effect. A submit
    /// repeated under the same id, on this node or another, counts once and gets the
    /// first decision. An empty id is replaced by a new one.
    submit_decision submit(const std::string& content, sheet_version base,
                           const std::string& author, const std::string& submit_id = "");

    /// Ends the threads.
    void stop();

private:
    void on_page(const log_page& page);
    void on_truncated(log_offset oldest);
    void publish_sheet();
    void append_checkpoint_if_due();
    void report_fault(const std::string& name, const std::string& reason);
    void store_step(sheet_version previous_version);
    void put_in_force(sheet_in_force sheet);
    config_record make_submit_record(const std::string& id, sheet_version base,
                                     const std::string& author,
                                     const std::string& content) const;
    submit_decision append_and_wait(const std::string& id, const config_record& record);
    bool append_submit(const config_record& record);
    void change_waiting_submits(int change);

    log_service& log_;
    const config_follower_options options_;
    const config_follower_handlers handlers_;
    random_engine random_;
    std::mutex publish_mutex_;
    sheet_version published_version_{0};
    mutable std::mutex mutex_;
    std::condition_variable state_changed_;
    config_state state_;
    sheet_history step_history_; ///< Steps of the versions read from the log.
    std::optional<std::string> difference_error_;
    std::optional<sheet_in_force> in_force_;
    checkpoint_timer checkpoint_timer_;
    bool caught_up_ = false;
    bool following_ = false;
    bool stopping_ = false;
    int waiting_submits_ = 0;
    std::string submit_id_prefix_;
    std::uint64_t submit_counter_ = 0;
    stream_follower follower_;
};

} // namespace fescueridge
