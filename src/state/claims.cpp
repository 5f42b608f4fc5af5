#include "fescueridge/state/claims.hpp"

#include <algorithm>
#include <utility>

#include "cbor_fields.hpp"
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
    carry = 3,
    lost = 4
};

milliseconds read_duration(detail::cbor_fields& in, const char* what)
{
    const std::uint64_t duration = in.number();
    if (duration > static_cast<std::uint64_t>(max_remember.count()))
    {
        throw codec_error(std::string(what) + " is above the maximum of 31 days: " +
                          std::to_string(duration) + " ms");
    }
    return milliseconds(duration);
}

/// Appends the fields of an entry to a flat array.
struct entry_encoder
{
    json& out;

    void operator()(const void_entry& e) const { put(0, e.key, e.call); }
    void operator()(const done_entry& e) const { put(1, e.key, e.call); }
    void operator()(const claim_entry& e) const
    {
        put(2, e.key, e.call);
        out.push_back(e.node.get());
        out.push_back(static_cast<std::uint64_t>(e.remember.count()));
    }

private:
    void put(unsigned kind, key_hash key, const call_id& call) const
    {
        out.push_back(kind);
        out.push_back(key.get());
        out.push_back(detail::to_binary(call.get()));
    }
};

claims_entry read_entry(detail::cbor_fields& in)
{
    const std::uint64_t kind = in.number();
    const key_hash key(in.number());
    const call_id call(in.text());
    if (kind == 0)
    {
        return void_entry{key, call};
    }
    if (kind == 1)
    {
        return done_entry{key, call};
    }
    if (kind != 2)
    {
        throw codec_error("unknown kind of claims entry: " + std::to_string(kind));
    }
    const incarnation node(in.number());
    return claim_entry{key, call, node, read_duration(in, "remember time of a claim")};
}

claims_batch read_batch(detail::cbor_fields& in)
{
    claims_batch batch;
    while (!in.at_end())
    {
        batch.entries.push_back(read_entry(in));
    }
    return batch;
}

claims_carry read_carry(detail::cbor_fields& in)
{
    claims_carry carry;
    carry.as_of = log_offset(in.number());
    carry.wall_ms = in.signed_number();
    carry.unknown_until_ms = in.signed_number();
    detail::cbor_fields keys = in.array();
    while (!keys.at_end())
    {
        taken_key taken;
        taken.key = key_hash(keys.number());
        taken.call = call_id(keys.text());
        taken.expires_ms = keys.signed_number();
        carry.keys.push_back(std::move(taken));
    }
    carry.done = detail::read_done_keys(in.array());
    detail::cbor_fields spent = in.array();
    while (!spent.at_end())
    {
        spent_call call;
        call.call = call_id(spent.text());
        call.expires_ms = spent.signed_number();
        carry.spent.push_back(std::move(call));
    }
    in.expect_end();
    return carry;
}

claims_lost read_lost(detail::cbor_fields& in)
{
    claims_lost lost;
    lost.as_of = log_offset(in.number());
    lost.unknown_for = read_duration(in, "unknown time of a lost table");
    in.expect_end();
    return lost;
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
    if (const auto* lost = std::get_if<claims_lost>(&record))
    {
        out.push_back(static_cast<unsigned>(record_kind::lost));
        out.push_back(lost->as_of.get());
        out.push_back(static_cast<std::uint64_t>(lost->unknown_for.count()));
        return detail::to_cbor(out);
    }
    const auto& carry = std::get<claims_carry>(record);
    json keys = json::array();
    for (const taken_key& taken : carry.keys)
    {
        keys.push_back(taken.key.get());
        keys.push_back(detail::to_binary(taken.call.get()));
        keys.push_back(taken.expires_ms);
    }
    json spent = json::array();
    for (const spent_call& call : carry.spent)
    {
        spent.push_back(detail::to_binary(call.call.get()));
        spent.push_back(call.expires_ms);
    }
    out.push_back(static_cast<unsigned>(record_kind::carry));
    out.push_back(carry.as_of.get());
    out.push_back(carry.wall_ms);
    out.push_back(carry.unknown_until_ms);
    out.push_back(std::move(keys));
    out.push_back(detail::done_keys_to_json(carry.done));
    out.push_back(std::move(spent));
    return detail::to_cbor(out);
}

claims_record decode_claims_record(const std::string& bytes)
{
    detail::cbor_fields in(bytes);
    const std::uint64_t kind = in.number();
    if (kind == static_cast<unsigned>(record_kind::batch))
    {
        return read_batch(in);
    }
    if (kind == static_cast<unsigned>(record_kind::carry))
    {
        return read_carry(in);
    }
    if (kind == static_cast<unsigned>(record_kind::lost))
    {
        return read_lost(in);
    }
    throw codec_error("unknown kind of claims record: " + std::to_string(kind));
}

std::optional<log_offset> claims_table::carry_as_of(const log_record& raw,
                                                    const record_type& record)
{
    const auto* lost = std::get_if<claims_lost>(&record);
    if (lost != nullptr && lost->as_of == raw.offset)
    {
        return lost->as_of;
    }
    const auto* carry = std::get_if<claims_carry>(&record);
    return carry != nullptr ? std::make_optional(carry->as_of) : std::nullopt;
}

void claims_table::load(const record_type& record)
{
    const auto* known = std::get_if<claims_carry>(&record);
    if (known == nullptr)
    {
        return; // a claims_table_lost, which apply() processes
    }
    const claims_carry& carry = *known;
    wall_ms_ = carry.wall_ms;
    unknown_until_ms_ = carry.unknown_until_ms;
    for (const taken_key& taken : carry.keys)
    {
        keys_[taken.key] = taken;
    }
    done_.merge(carry.done);
    done_.expire(wall_ms_);
    for (const spent_call& call : carry.spent)
    {
        spent_[call.call] = call.expires_ms;
    }
}

// Expiry depends on the times in the log and never on the clock of this process, so that
// all readers make the same decisions.
void claims_table::apply(const log_record& raw, const record_type& record)
{
    wall_ms_ = std::max(wall_ms_, raw.wall_ms);
    expire();
    if (const auto* batch = std::get_if<claims_batch>(&record))
    {
        for (const claims_entry& entry : batch->entries)
        {
            std::visit([this](const auto& e) { add(e); }, entry);
        }
    }
    const auto* lost = std::get_if<claims_lost>(&record);
    if (lost != nullptr && lost->as_of == raw.offset)
    {
        lose(*lost);
    }
}

// spec/claims.pml, label lose: a reader with a known table discards it too. Readers with
// different tables would free keys at different times, and a key could run twice.
void claims_table::lose(const claims_lost& lost)
{
    keys_.clear();
    done_ = done_keys();
    spent_.clear();
    unknown_until_ms_ = std::max(unknown_until_ms_, wall_ms_ + lost.unknown_for.count());
}

// spec/claims.pml, label decide.
void claims_table::add(const claim_entry& entry)
{
    const auto spent = spent_.find(entry.call);
    if (spent != spent_.end() && spent->second > wall_ms_)
    {
        return;
    }
    if (unknown_until_ms() > 0)
    {
        decisions_.push_back({entry.call, false, false, true});
        spend(entry.call);
        return;
    }
    const std::optional<key_holder> owner = find(entry.key);
    if (!owner)
    {
        keys_[entry.key] = {entry.key, entry.call, wall_ms_ + entry.remember.count()};
        decisions_.push_back({entry.call, true, false});
        return;
    }
    if (owner->call == entry.call)
    {
        return;
    }
    decisions_.push_back({entry.call, false, owner->done()});
    spend(entry.call);
}

// A done entry of a call that does not hold the key is ignored: its claim was rejected,
// or the entry is repeated. It is also ignored after the key has expired, since some
// readers have already freed the key and all must make the same decisions.
void claims_table::add(const done_entry& entry)
{
    const auto found = keys_.find(entry.key);
    if (found == keys_.end() || found->second.call != entry.call)
    {
        return;
    }
    if (found->second.expires_ms > wall_ms_)
    {
        done_.insert(entry.key, found->second.expires_ms);
    }
    keys_.erase(found);
}

// spec/claims.pml, label apply_void: a release entry takes effect before and after its
// claim. The key of a done call stays held, since that call was dispatched and done keys
// are not in claimed_keys_.
void claims_table::add(const void_entry& entry)
{
    const auto found = keys_.find(entry.key);
    if (found != keys_.end() && found->second.call == entry.call)
    {
        keys_.erase(found);
    }
    spend(entry.call);
}

void claims_table::spend(const call_id& call)
{
    spent_[call] = wall_ms_ + spent_ms;
}

/// Frees expired entries: done keys by their buckets, the others once per hour of log
/// time.
void claims_table::expire()
{
    constexpr std::int64_t interval_ms = 3'600'000;
    done_.expire(wall_ms_);
    if (wall_ms_ < next_expiry_ms_)
    {
        return;
    }
    next_expiry_ms_ = wall_ms_ + interval_ms;
    for (auto it = keys_.begin(); it != keys_.end();)
    {
        it = it->second.expires_ms <= wall_ms_ ? keys_.erase(it) : std::next(it);
    }
    for (auto it = spent_.begin(); it != spent_.end();)
    {
        it = it->second <= wall_ms_ ? spent_.erase(it) : std::next(it);
    }
}

std::vector<claim_decision> claims_table::take_decisions()
{
    return std::exchange(decisions_, {});
}

std::optional<key_holder> claims_table::find(key_hash key) const
{
    const auto found = keys_.find(key);
    if (found != keys_.end() && found->second.expires_ms > wall_ms_)
    {
        return key_holder{found->second.call};
    }
    return done_.contains(key) ? std::make_optional(key_holder{}) : std::nullopt;
}

claims_carry claims_table::to_carry(log_offset as_of) const
{
    claims_carry carry;
    carry.as_of = as_of;
    carry.wall_ms = wall_ms_;
    carry.unknown_until_ms = unknown_until_ms();
    carry.done = done_.by_hour();
    for (const auto& [key, taken] : keys_)
    {
        if (taken.expires_ms > wall_ms_)
        {
            carry.keys.push_back(taken);
        }
    }
    for (const auto& [call, expires_ms] : spent_)
    {
        if (expires_ms > wall_ms_)
        {
            carry.spent.push_back({call, expires_ms});
        }
    }
    return carry;
}

} // namespace fescueridge
