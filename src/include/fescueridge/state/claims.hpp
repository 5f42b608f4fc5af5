#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/state/done_keys.hpp"
#include "fescueridge/state/key_hash.hpp"
#include "fescueridge/state/stream_replay.hpp"

namespace fescueridge
{

/// Claims a key for a call. The claim contains the time for which the key is remembered,
/// so that nodes with different sheets make the same decisions.
struct claim_entry
{
    key_hash key;
    call_id call;
    incarnation node;
    milliseconds remember_time{0};
};

/// Records that the call ran or may have run.
struct done_entry
{
    key_hash key;
    call_id call;
};

/// Releases the claim of a call that was not dispatched.
struct release_entry
{
    key_hash key;
    call_id call;
};

/// A key held by a call that is not known to have ended.
struct claimed_key
{
    key_hash key;
    call_id call;
    std::int64_t expires_ms = 0; ///< By the log service's clock.
};

/// Holder of a key. `call` is empty once the call is done.
struct key_holder
{
    std::optional<call_id> call;

    bool done() const noexcept { return !call.has_value(); }
};

/// Marks a call whose later claims are ignored: its claim was released or rejected.
struct call_tombstone
{
    call_id call;
    std::int64_t expires_ms = 0;
};

using claims_entry = std::variant<release_entry, done_entry, claim_entry>;

/// Entries appended as one record; they are applied in order.
struct claims_batch
{
    std::vector<claims_entry> entries;
};

/// The whole table after all records below `as_of`.
struct claims_checkpoint
{
    log_offset as_of;
    std::int64_t wall_ms = 0;
    /// See claims_table_lost; 0 if the table is known.
    std::int64_t unknown_until_ms = 0;
    std::vector<claimed_key> claimed_keys;
    done_keys::buckets done;
    std::vector<call_tombstone> tombstones;
};

/// Declares the table lost because the last usable checkpoint was dropped. The table is
/// unknown until `unknown_for` after this record, by the log's clock. The record takes
/// effect only if no record lies between `as_of` and it, so a delayed append cannot
/// discard a known table.
struct claims_table_lost
{
    log_offset as_of;
    milliseconds unknown_for{0};
};

/// Longest time for which a claim can have its key remembered and for which a lost table
/// is unknown: the maximum of `remember_days` in the sheet.
constexpr milliseconds max_remember_time{std::int64_t{31} * 24 * 3'600'000};

/// A record of the stream claims.<service>.
using claims_record = std::variant<claims_batch, claims_checkpoint, claims_table_lost>;

std::string encode_claims_record(const claims_record& record);

/// Throws codec_error on malformed bytes.
claims_record decode_claims_record(const std::string& bytes);

/// Returns the name of a service's claims stream.
std::string claims_stream(const service_name& service);

/// Decision on one claim.
struct claim_decision
{
    call_id call;
    bool granted = false;
    bool holder_done = false; ///< If not granted: the call that holds the key has ended.
    /// If not granted: the table was unknown; the key has no holder.
    bool table_unknown = false;
};

/// State of the claims of a service after a prefix of its stream.
class claims_table
{
public:
    using record_type = claims_record;
    static record_type decode(const std::string& bytes)
    {
        return decode_claims_record(bytes);
    }
    static std::optional<log_offset> checkpoint_as_of(const log_record& raw,
                                                      const record_type& record);
    void load(const record_type& record);
    void apply(const log_record& raw, const record_type& record);

    /// Returns the decisions made since the previous call of this function, in log order.
    std::vector<claim_decision> take_decisions();

    /// Returns the holder of a key, or nothing if the key is free or expired.
    std::optional<key_holder> find(key_hash key) const;

    /// Returns the table as a checkpoint without expired keys and tombstones.
    claims_checkpoint to_checkpoint(log_offset as_of) const;

    /// Returns the time, by the log's clock, until which no key can be claimed because
    /// the table is unknown; 0 if it is known.
    std::int64_t unknown_until_ms() const noexcept
    {
        return unknown_until_ms_ > wall_ms_ ? unknown_until_ms_ : 0;
    }

    std::size_t size() const noexcept { return claimed_keys_.size() + done_keys_.size(); }

private:
    // A release entry can precede its claim in the log, so its tombstone is kept for the
    // longest time that the sheet allows for remembering a key.
    static constexpr std::int64_t tombstone_lifetime_ms = max_remember_time.count();

    void apply_entry(const claim_entry& entry);
    void apply_entry(const done_entry& entry);
    void apply_entry(const release_entry& entry);
    void discard_table(const claims_table_lost& table_lost);
    void add_tombstone(const call_id& call);
    void drop_expired();

    std::unordered_map<key_hash, claimed_key> claimed_keys_;
    done_keys done_keys_;
    std::unordered_map<call_id, std::int64_t> tombstones_;
    std::vector<claim_decision> decisions_;
    std::int64_t wall_ms_ = 0;
    std::int64_t unknown_until_ms_ = 0;
    std::int64_t next_cleanup_ms_ = 0;
};

/// Replay of the stream claims.<service>.
using claims_state = stream_replay<claims_table>;

} // namespace fescueridge
