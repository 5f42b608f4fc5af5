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
#include "fescueridge/state/carry_timer.hpp"
#include "fescueridge/state/config_state.hpp"
#include "fescueridge/state/stream_follower.hpp"

namespace fescueridge
{

/// A sheet with the log offset up to which it was decided.
struct sheet_in_force
{
    sheet_version version;
    log_offset offset;
    std::string content;
    std::string author{};            ///< Empty if not known.
    std::vector<sheet_step> steps{}; ///< Lead to this version from one in force before.
};

struct config_follower_options
{
    follow_options follow{"config"};
    milliseconds retention{0}; ///< Of the log service; zero carries nothing forward.
    milliseconds submit_timeout{8'000};
    milliseconds append_timeout{1'000};
};

struct config_follower_handlers
{
    /// A new version is in force; versions only rise. Calls do not overlap; the handler
    /// must not call offer().
    std::function<void(const sheet_in_force&)> changed;
    /// A fault of the log, a malformed record or a difference that does not apply; name
    /// is a stable event name.
    std::function<void(const std::string& name, const std::string& reason)> fault;
};

/// Follows the stream `config`, takes versions from peers and submits sheets. Safe for
/// use from several threads.
class config_follower
{
public:
    config_follower(log_service& log, config_follower_options options,
                    config_follower_handlers handlers);
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /// Follows the stream, or only while a submit waits for its result. Off at first:
    /// only the reader nodes of a failure domain follow.
    void set_following(bool following);

    /// Takes a sheet from a peer. Returns true if it is newer and now in force.
    bool offer(const sheet_in_force& sheet);

    /// Returns the sheet in force; nothing on a fresh node.
    std::optional<sheet_in_force> current() const;

    /// Returns true once the log was read to its end, even if it holds no sheet.
    bool caught_up() const;

    /// Submits a sheet and waits for the decision. A lost answer is recovered by reading
    /// back and by appending again under the same id. submit_not_seen means unknown: the
    /// submit may still take effect. Throws log_unavailable_error if it certainly has
    /// none. A submit that is sent again under the same id, here or at another node,
    /// counts once and gets the first decision; an empty id is replaced by a new one.
    submit_decision submit(const std::string& content, sheet_version base,
                           const std::string& author, const std::string& submit_id = "");

    /// Ends the threads.
    void stop();

private:
    void on_page(const log_page& page);
    void on_truncated(log_offset oldest);
    void publish();
    void carry_if_due();
    void report(const std::string& name, const std::string& reason);
    void note_version(sheet_version before);
    void put_in_force(sheet_in_force sheet);
    config_record make_submit(const std::string& id, sheet_version base,
                              const std::string& author,
                              const std::string& content) const;
    submit_decision append_and_wait(const std::string& id, const config_record& record);
    bool append_submit(const config_record& record);
    void update_following(int waiting_change);

    log_service& log_;
    const config_follower_options options_;
    const config_follower_handlers handlers_;
    random_engine random_;
    std::mutex publish_mutex_;
    sheet_version published_{0};
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    config_state state_;
    sheet_history log_steps_; ///< Of the versions that the log gave.
    std::optional<std::string> difference_problem_;
    std::optional<sheet_in_force> in_force_;
    carry_timer carry_timer_;
    bool caught_up_ = false;
    bool following_ = false;
    bool stopping_ = false;
    int waiting_submits_ = 0;
    std::string id_prefix_;
    std::uint64_t submit_counter_ = 0;
    stream_follower follower_;
};

} // namespace fescueridge
