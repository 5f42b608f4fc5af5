#include "fescueridge/state/claims.hpp"

#include <algorithm>
#include <utility>

#include "cbor_array_reader.hpp"
#include "done_keys_codec.hpp"
#include "fescueridge/base/random.hpp"

namespace fescueridge
{

namespace
{

using detail::json;

enum class record_kind : std::uint8_t
{
    batch = 1,
    // 2 is reserved: an earlier checkpoint layout with a call id for each done key.
    checkpoint = 3,
    table_lost = 4
};

milliseconds read_duration(detail::cbor_array_reader& in, const char* field)
{
    const std::uint64_t duration = in.read_unsigned();
    if (duration > static_cast<std::uint64_t>(max_remember_time.count()))
    {
        throw codec_error(std::string(field) + " is above the maximum of 31 days: " +
                          std::to_string(duration) + " ms");
    }
    return milliseconds(duration);
}

/// Appends the fields of an entry to a flat array.
struct entry_encoder
{
    json& out;

    void operator()(const release_entry& e) const { put(0, e.key, e.call); }
    void operator()(const done_entry& e) const { put(1, e.key, e.call); }
    void operator()(const claim_entry& e) const
    {
        put(2, e.key, e.call);
        out.push_back(e.node.get());
        out.push_back(static_cast<std::uint64_t>(e.remember_time.count()));
    }

private:
    void put(unsigned kind, key_hash key, const call_id& call) const
    {
        out.push_back(kind);
        out.push_back(key.get());
        out.push_back(detail::to_binary(call.get()));
    }
};

claims_entry read_entry(detail::cbor_array_reader& in)
{
    const std::uint64_t kind = in.read_unsigned();
    const key_hash key(in.read_unsigned());
    const call_id call(in.read_bytes());
    if (kind == 0)
    {
        return release_entry{key, call};
    }
    if (kind == 1)
    {
        return done_entry{key, call};
    }
    if (kind != 2)
    {
        throw codec_error("unknown kind of claims entry: " + std::to_string(kind));
    }
    const incarnation node(in.read_unsigned());
    return claim_entry{key, call, node, read_duration(in, "remember time of a claim")};
}

claims_batch read_batch(detail::cbor_array_reader& in)
{
    claims_batch batch;
    while (!in.at_end())
    {
        batch.entries.push_back(read_entry(in));
    }
    return batch;
}

claims_checkpoint read_checkpoint(detail::cbor_array_reader& in)
{
    claims_checkpoint checkpoint;
    checkpoint.as_of = log_offset(in.read_unsigned());
    checkpoint.wall_ms = in.read_signed();
    checkpoint.unknown_until_ms = in.read_signed();
    detail::cbor_array_reader keys = in.read_array();
    while (!keys.at_end())
    {
        claimed_key claimed;
        claimed.key = key_hash(keys.read_unsigned());
        claimed.call = call_id(keys.read_bytes());
        claimed.expires_ms = keys.read_signed();
        checkpoint.claimed_keys.push_back(std::move(claimed));
    }
    checkpoint.done = detail::read_done_keys(in.read_array());
    detail::cbor_array_reader tombstones = in.read_array();
    while (!tombstones.at_end())
    {
        call_tombstone tombstone;
        tombstone.call = call_id(tombstones.read_bytes());
        tombstone.expires_ms = tombstones.read_signed();
        checkpoint.tombstones.push_back(std::move(tombstone));
    }
    in.expect_end();
    return checkpoint;
}

claims_table_lost read_table_lost(detail::cbor_array_reader& in)
{
    claims_table_lost table_lost;
    table_lost.as_of = log_offset(in.read_unsigned());
    table_lost.unknown_for = read_duration(in, "unknown time of a lost table");
    in.expect_end();
    return table_lost;
}

} // namespace

key_hash hash_of(const idempotency_key& key)
{
    return key_hash(stable_hash(key.get()));
}

std::string claims_stream(const service_name& service)
{
    return "claims." + service.get();
}

std::string encode_claims_record(const claims_record& record)
{
    json out = json::array();
    if (const auto* batch = std::get_if<claims_batch>(&record))
    {
        out.push_back(static_cast<unsigned>(record_kind::batch));
        for (const claims_entry& entry : batch->entries)
        {
            std::visit(entry_encoder{out}, entry);
        }
        return detail::to_cbor(out);
    }
    if (const auto* table_lost = std::get_if<claims_table_lost>(&record))
    {
        out.push_back(static_cast<unsigned>(record_kind::table_lost));
        out.push_back(table_lost->as_of.get());
        out.push_back(static_cast<std::uint64_t>(table_lost->unknown_for.count()));
        return detail::to_cbor(out);
    }
    const auto& checkpoint = std::get<claims_checkpoint>(record);
    json keys = json::array();
    for (const claimed_key& claimed : checkpoint.claimed_keys)
    {
        keys.push_back(claimed.key.get());
        keys.push_back(detail::to_binary(claimed.call.get()));
        keys.push_back(claimed.expires_ms);
    }
    json tombstones = json::array();
    for (const call_tombstone& tombstone : checkpoint.tombstones)
    {
        tombstones.push_back(detail::to_binary(tombstone.call.get()));
        tombstones.push_back(tombstone.expires_ms);
    }
    out.push_back(static_cast<unsigned>(record_kind::checkpoint));
    out.push_back(checkpoint.as_of.get());
    out.push_back(checkpoint.wall_ms);
    out.push_back(checkpoint.unknown_until_ms);
    out.push_back(std::move(keys));
    out.push_back(detail::done_keys_to_json(checkpoint.done));
    out.push_back(std::move(tombstones));
    return detail::to_cbor(out);
}

claims_record decode_claims_record(const std::string& bytes)
{
    detail::cbor_array_reader in(bytes);
    const std::uint64_t kind = in.read_unsigned();
    if (kind == static_cast<unsigned>(record_kind::batch))
    {
        return read_batch(in);
    }
    if (kind == static_cast<unsigned>(record_kind::checkpoint))
    {
        return read_checkpoint(in);
    }
    if (kind == static_cast<unsigned>(record_kind::table_lost))
    {
        return read_table_lost(in);
    }
    throw codec_error("unknown kind of claims record: " + std::to_string(kind));
}

std::optional<log_offset> claims_table::checkpoint_as_of(const log_record& raw,
                                                         const record_type& record)
{
    const auto* table_lost = std::get_if<claims_table_lost>(&record);
    if (table_lost != nullptr && table_lost->as_of == raw.offset)
    {
        return table_lost->as_of;
    }
    const auto* checkpoint = std::get_if<claims_checkpoint>(&record);
    return checkpoint != nullptr ? std::make_optional(checkpoint->as_of) : std::nullopt;
}

void claims_table::load(const record_type& record)
{
    const auto* loaded = std::get_if<claims_checkpoint>(&record);
    if (loaded == nullptr)
    {
        return; // a claims_table_lost, which apply() processes
    }
    const claims_checkpoint& checkpoint = *loaded;
    wall_ms_ = checkpoint.wall_ms;
    unknown_until_ms_ = checkpoint.unknown_until_ms;
    for (const claimed_key& claimed : checkpoint.claimed_keys)
    {
        claimed_keys_[claimed.key] = claimed;
    }
    done_keys_.merge(checkpoint.done);
    done_keys_.expire(wall_ms_);
    for (const call_tombstone& tombstone : checkpoint.tombstones)
    {
        tombstones_[tombstone.call] = tombstone.expires_ms;
    }
}

// Expiry depends on the times in the log and never on the clock of this process, so that
// all readers make the same decisions.
void claims_table::apply(const log_record& raw, const record_type& record)
{
    wall_ms_ = std::max(wall_ms_, raw.wall_ms);
    drop_expired();
    if (const auto* batch = std::get_if<claims_batch>(&record))
    {
        for (const claims_entry& entry : batch->entries)
        {
            std::visit([this](const auto& e) { apply_entry(e); }, entry);
        }
    }
    const auto* table_lost = std::get_if<claims_table_lost>(&record);
    if (table_lost != nullptr && table_lost->as_of == raw.offset)
    {
        discard_table(*table_lost);
    }
}

// spec/claims.pml, label lose: a reader with a known table discards it too. Readers with
// different tables would free keys at different times, and a key could run twice.
void claims_table::discard_table(const claims_table_lost& table_lost)
{
    claimed_keys_.clear();
    done_keys_ = done_keys();
    tombstones_.clear();
    unknown_until_ms_ =
        std::max(unknown_until_ms_, wall_ms_ + table_lost.unknown_for.count());
}

// spec/claims.pml, label decide.
void claims_table::apply_entry(const claim_entry& entry)
{
    const auto tombstone = tombstones_.find(entry.call);
    if (tombstone != tombstones_.end() && tombstone->second > wall_ms_)
    {
        return;
    }
    if (unknown_until_ms() > 0)
    {
        decisions_.push_back({entry.call, false, false, true});
        add_tombstone(entry.call);
        return;
    }
    const std::optional<key_holder> holder = find(entry.key);
    if (!holder)
    {
        claimed_keys_[entry.key] = {entry.key, entry.call,
                                    wall_ms_ + entry.remember_time.count()};
        decisions_.push_back({entry.call, true, false});
        return;
    }
    if (holder->call == entry.call)
    {
        return;
    }
    decisions_.push_back({entry.call, false, holder->done()});
    add_tombstone(entry.call);
}

// A done entry of a call that does not hold the key is ignored: its claim was rejected,
// or the entry is repeated. It is also ignored after the key has expired, since some
// readers have already freed the key and all must make the same decisions.
void claims_table::apply_entry(const done_entry& entry)
{
    const auto found = claimed_keys_.find(entry.key);
    if (found == claimed_keys_.end() || found->second.call != entry.call)
    {
        return;
    }
    if (found->second.expires_ms > wall_ms_)
    {
        done_keys_.insert(entry.key, found->second.expires_ms);
    }
    claimed_keys_.erase(found);
}

// spec/claims.pml, label apply_void: a release entry takes effect before and after its
// claim. The key of a done call stays held, since that call was dispatched and done keys
// are not in claimed_keys_.
void claims_table::apply_entry(const release_entry& entry)
{
    const auto found = claimed_keys_.find(entry.key);
    if (found != claimed_keys_.end() && found->second.call == entry.call)
    {
        claimed_keys_.erase(found);
    }
    add_tombstone(entry.call);
}

void claims_table::add_tombstone(const call_id& call)
{
    tombstones_[call] = wall_ms_ + tombstone_lifetime_ms;
}

/// Frees expired entries: done keys by their buckets, the others once per hour of log
/// time.
void claims_table::drop_expired()
{
    constexpr std::int64_t cleanup_interval_ms = 3'600'000;
    done_keys_.expire(wall_ms_);
    if (wall_ms_ < next_cleanup_ms_)
    {
        return;
    }
    next_cleanup_ms_ = wall_ms_ + cleanup_interval_ms;
    for (auto it = claimed_keys_.begin(); it != claimed_keys_.end();)
    {
        it = it->second.expires_ms <= wall_ms_ ? claimed_keys_.erase(it) : std::next(it);
    }
    for (auto it = tombstones_.begin(); it != tombstones_.end();)
    {
        it = it->second <= wall_ms_ ? tombstones_.erase(it) : std::next(it);
    }
}

std::vector<claim_decision> claims_table::take_decisions()
{
    return std::exchange(decisions_, {});
}

std::optional<key_holder> claims_table::find(key_hash key) const
{
    const auto found = claimed_keys_.find(key);
    if (found != claimed_keys_.end() && found->second.expires_ms > wall_ms_)
    {
        return key_holder{found->second.call};
    }
    return done_keys_.contains(key) ? std::make_optional(key_holder{}) : std::nullopt;
}

claims_checkpoint claims_table::to_checkpoint(log_offset as_of) const
{
    claims_checkpoint checkpoint;
    checkpoint.as_of = as_of;
    checkpoint.wall_ms = wall_ms_;
    checkpoint.unknown_until_ms = unknown_until_ms();
    checkpoint.done = done_keys_.by_hour();
    for (const auto& [key, claimed] : claimed_keys_)
    {
        if (claimed.expires_ms > wall_ms_)
        {
            checkpoint.claimed_keys.push_back(claimed);
        }
    }
    for (const auto& [call, expires_ms] : tombstones_)
    {
        if (expires_ms > wall_ms_)
        {
            checkpoint.tombstones.push_back({call, expires_ms});
        }
    }
    return checkpoint;
}

} // namespace fescueridge
