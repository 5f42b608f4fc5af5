#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/state/carried_stream.hpp"
#include "fescueridge/state/done_keys.hpp"
#include "fescueridge/state/key_hash.hpp"

namespace fescueridge
{

/// Claims a key for a call. The time that the key is remembered stands in the claim, so
/// nodes with different sheets still decide alike.
struct claim_entry
{
    key_hash key;
    call_id call;
    incarnation node;
    milliseconds remember{0};
};

/// The call ran, or may have run.
struct done_entry
{
    key_hash key;
    call_id call;
};

/// The holder gave the claim up before dispatch.
struct void_entry
{
    key_hash key;
    call_id call;
};

/// A key that is taken by a call which is not known to have ended.
struct taken_key
{
    key_hash key;
    call_id call;
    std::int64_t expires_ms = 0; ///< By the log service's clock.
};

/// Who holds a key. The call is not kept once it is done.
struct key_holder
{
    std::optional<call_id> call;

    bool done() const noexcept { return !call.has_value(); }
};

/// A call whose claims count no more: voided, or dead for good.
struct spent_call
{
    call_id call;
    std::int64_t expires_ms = 0;
};

using claims_entry = std::variant<void_entry, done_entry, claim_entry>;

/// Entries appended together; they count in their order.
struct claims_batch
{
    std::vector<claims_entry> entries;
};

/// The whole table after every record below `as_of`.
struct claims_carry
{
    log_offset as_of;
    std::int64_t wall_ms = 0;
    std::int64_t unknown_until_ms = 0; ///< See claims_lost; 0 if the table is known.
    std::vector<taken_key> keys;
    done_keys::buckets done;
    std::vector<spent_call> spent;
};

/// The last usable carry was dropped: no reader knows which keys are taken until
/// `unknown_for` after this record, by the log's clock. Counts only if no record came
/// between `as_of` and this one, so a late append cannot discard a table that is known.
struct claims_lost
{
    log_offset as_of;
    milliseconds unknown_for{0};
};

/// Longest time that a claim may ask its key to be remembered, and that a lost table is
/// unknown: the longest `remember_days` that the sheet allows.
constexpr milliseconds max_remember{std::int64_t{31} * 24 * 3'600'000};

/// A record of the stream claims.<service>.
using claims_record = std::variant<claims_batch, claims_carry, claims_lost>;

std::string encode_claims_record(const claims_record& record);

/// Throws codec_error on malformed bytes.
claims_record decode_claims_record(const std::string& bytes);

/// Returns the name of a service's claims stream.
std::string claims_stream(const service_name& service);

/// Decision on one claim.
struct claim_decision
{
    call_id call;
    bool won = false;
    bool owner_done = false; ///< If not won: the call that holds the key has ended.
    bool unknown = false;    ///< If not won: the table was unknown, nobody gets the key.
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
    static std::optional<log_offset> carry_as_of(const log_record& raw,
                                                 const record_type& record);
    void load(const record_type& carry);
    void apply(const log_record& raw, const record_type& record);

    /// Returns the decisions since the last call of this function, in log order.
    std::vector<claim_decision> take_decisions();

    /// Returns the holder of a key that has not expired, or nothing.
    std::optional<key_holder> find(key_hash key) const;

    /// Returns the table as a carry, without what has expired.
    claims_carry to_carry(log_offset as_of) const;

    /// Returns the time of the log's clock until which no key may be claimed; 0 if none.
    std::int64_t unknown_until_ms() const noexcept
    {
        return unknown_until_ms_ > wall_ms_ ? unknown_until_ms_ : 0;
    }

    std::size_t size() const noexcept { return keys_.size() + done_.size(); }

private:
    // Time for which a void that has not met its claim is kept: as long as the longest
    // time of remembering that the sheet allows.
    static constexpr std::int64_t spent_ms = max_remember.count();

    void add(const claim_entry& entry);
    void add(const done_entry& entry);
    void add(const void_entry& entry);
    void lose(const claims_lost& lost);
    void spend(const call_id& call);
    void expire();

    std::unordered_map<key_hash, taken_key> keys_;
    done_keys done_;
    std::unordered_map<call_id, std::int64_t> spent_;
    std::vector<claim_decision> decisions_;
    std::int64_t wall_ms_ = 0;
    std::int64_t unknown_until_ms_ = 0;
    std::int64_t next_expiry_ms_ = 0;
};

/// Replay of the stream claims.<service>.
using claims_state = carried_stream<claims_table>;

} // namespace fescueridge
