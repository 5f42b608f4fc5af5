#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "fescueridge/base/types.hpp"
#include "fescueridge/state/content_difference.hpp"
#include "fescueridge/state/sheet_history.hpp"
#include "fescueridge/state/stream_replay.hpp"

namespace fescueridge
{

/// Proposes a sheet as the successor of a base version.
struct submit_record
{
    std::string submit_id;
    sheet_version base;
    std::string author;
    std::string content;
};

/// Proposes a sheet by its difference from the content of the base version.
struct submit_difference_record
{
    std::string submit_id;
    sheet_version base;
    std::string author;
    content_difference difference;
};

/// The current sheet with its version after all records below `as_of`.
struct sheet_checkpoint_record
{
    sheet_version version;
    log_offset as_of;
    std::string content;
    std::string author{}; ///< Author of the version; empty in records of older nodes.
};

/// A record of the stream `config`.
using config_record =
    std::variant<submit_record, sheet_checkpoint_record, submit_difference_record>;

std::string encode_config_record(const config_record& record);

/// Throws codec_error on malformed bytes.
config_record decode_config_record(const std::string& bytes);

/// The submit created this version.
struct submit_accepted
{
    sheet_version version;
};

/// Another submit was accepted for the base version first. Its id and author are empty if
/// its record is older than the records read by this process.
struct submit_rejected
{
    std::string winner_id;
    std::string winner_author;
    sheet_version version; ///< Current version when the submit was decided.
};

/// The submit is not in the records read so far.
struct submit_not_seen
{
};

using submit_decision = std::variant<submit_not_seen, submit_accepted, submit_rejected>;

/// State of the sheet after a prefix of the stream. All replays of the same records, from
/// offset 0 or from any verified checkpoint, have the same version and content.
class config_table
{
public:
    using record_type = config_record;
    static record_type decode(const std::string& bytes)
    {
        return decode_config_record(bytes);
    }
    static std::optional<log_offset> checkpoint_as_of(const log_record& raw,
                                                      const record_type& record);
    void load(const record_type& record);
    void apply(const log_record& raw, const record_type& record);

    sheet_version version() const noexcept { return version_; }
    const std::string& content() const noexcept { return content_; }
    const std::string& author() const noexcept { return author_; }

    /// Returns false if the content of the current version is unknown because a
    /// difference could not be applied.
    bool has_content() const noexcept { return content_error_.empty(); }

    /// Returns why the content of the current version is unknown; empty if it is known.
    const std::string& content_error() const noexcept { return content_error_; }

    /// Sets the content and author of the current version if its content is unknown.
    void supply_content(sheet_version version, const std::string& content,
                        const std::string& author);

    /// Returns the step that created the current version, or null if a whole sheet did.
    const sheet_step* last_step() const noexcept
    {
        return last_step_ ? &*last_step_ : nullptr;
    }

    /// Returns the number of accepted differences that a reader replays when it starts
    /// from the latest checkpoint.
    std::size_t differences_to_replay() const noexcept
    {
        return difference_offsets_.size();
    }

    /// Returns the first decision on a submit id.
    submit_decision find_decision(const std::string& submit_id) const;

private:
    struct winner
    {
        std::string id;
        std::string author;
    };
    // Operators query decisions within seconds; the design size has 13,000 changes a day.
    static constexpr std::size_t max_stored_decisions = 4096;

    void apply_record(const log_record& raw, const submit_record& submit);
    void apply_record(const log_record& raw, const submit_difference_record& submit);
    void apply_record(const log_record& raw, const sheet_checkpoint_record& checkpoint);
    bool decide_submit(const std::string& submit_id, sheet_version base,
                       const std::string& author);
    void store_decision(const std::string& submit_id, submit_decision decision);
    void apply_to_content(const content_difference& difference);

    sheet_version version_{0};
    std::string content_;
    std::string author_;
    std::string content_error_;
    std::optional<sheet_step> last_step_;
    std::deque<log_offset> difference_offsets_;
    std::map<std::uint64_t, winner> winners_;
    std::map<std::string, submit_decision> decisions_;
    std::deque<std::string> decision_order_;
};

/// Replay of the stream `config`.
using config_state = stream_replay<config_table>;

} // namespace fescueridge
