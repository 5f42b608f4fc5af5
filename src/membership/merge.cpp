#include <algorithm>
#include <utility>

#include "gossip_state.hpp"

namespace fescueridge::detail
{

namespace
{

// Time within which a node with the own id and a higher incarnation must answer a probe.
constexpr milliseconds id_conflict_timeout{1500};

// An update that a member is suspect or dead is not applied if this node had contact with
// the member within this time. Otherwise both sides of a healed partition would briefly
// mark their own members as suspect or dead.
constexpr milliseconds min_silence_for_suspect{500};
constexpr milliseconds min_silence_for_dead{1000};

// Maximum time from the return of a dead member to the next digest.
constexpr milliseconds recovery_digest_delay{500};

// Minimum interval between requests to a member to refute a suspect or dead status.
constexpr milliseconds refutation_request_period{100};

// Time until a relayed probe is discarded; the probe of the requester has then ended.
constexpr milliseconds relay_timeout{1000};

// Copies the fields that all updates transmit.
void copy_short_fields(member_record& to, const member_record& from)
{
    to.sequence = from.sequence;
    to.state = from.state;
    to.sheet = from.sheet;
}

// Copies the fields that only full updates transmit.
void copy_full_fields(member_entry& to, const member_update& from)
{
    const member_record short_fields = to.record;
    to.record = from.record;
    copy_short_fields(to.record, short_fields);
    to.content_sequence = from.content_sequence;
}

} // namespace

std::vector<outgoing_datagram> gossip_state::receive(time_point now, const endpoint& from,
                                                     std::string_view bytes)
{
    const datagram message = decode(bytes);
    now_ = std::max(now_, now);
    outgoing_.clear();
    if (superseded_)
    {
        return {};
    }
    handle_datagram(from, message);
    send_pulls();
    return std::exchange(outgoing_, {});
}

void gossip_state::handle_datagram(const endpoint& from, const datagram& message)
{
    if (message.sender.record.node == self_.record.node)
    {
        handle_datagram_with_own_id(from, message);
        return;
    }
    const bool known = find_entry(message.sender.record.node) != nullptr;
    applying_sync_ = message.kind == datagram_kind::sync;
    for (const member_update& update : message.updates)
    {
        apply_update(from, update);
    }
    applying_sync_ = false;
    process_sender(from, message);
    switch (message.kind)
    {
    case datagram_kind::ping:
        send_ack(from, message);
        break;
    case datagram_kind::ack:
        handle_ack(from, message, known);
        break;
    case datagram_kind::ping_request:
        relay_ping(from, message);
        break;
    case datagram_kind::join:
        start_sync(from);
        break;
    case datagram_kind::sync:
        handle_sync(message);
        break;
    case datagram_kind::digest:
        handle_digest(from, message);
        break;
    case datagram_kind::digest_reply:
        handle_digest_reply(from, message);
        break;
    case datagram_kind::pull:
        send_records(from, message.requested_nodes, true);
        break;
    case datagram_kind::push:
        break;
    }
}

void gossip_state::handle_datagram_with_own_id(const endpoint& from,
                                               const datagram& message)
{
    const incarnation& incarnation_number = message.sender.record.incarnation_number;
    if (incarnation_number == self_.record.incarnation_number)
    {
        return; // A datagram of this process that returned to it.
    }
    if (incarnation_number < self_.record.incarnation_number)
    {
        if (message.kind == datagram_kind::ping)
        {
            send_ack(from, message);
        }
        send_records(from, {self_.record.node}, true);
        return;
    }
    const bool answered = message.kind == datagram_kind::ack && id_conflict_ &&
                          message.nonce == id_conflict_->nonce;
    if (answered)
    {
        // Only an ack proves that the other node is alive. Other datagrams may have been
        // delayed in the network since before it stopped.
        superseded_ = true;
        id_conflict_.reset();
        record_change(change_kind::duplicate_id, self_);
        return;
    }
    open_id_conflict(incarnation_number, from);
}

void gossip_state::open_id_conflict(const incarnation& incarnation_number,
                                    const endpoint& address)
{
    if (id_conflict_ && id_conflict_->incarnation_number >= incarnation_number)
    {
        return;
    }
    id_conflict_ = id_conflict{incarnation_number, address, random_(),
                               now_ + id_conflict_timeout, now_};
}

void gossip_state::process_sender(const endpoint& from, const datagram& message)
{
    const member_update& sender = message.sender;
    apply_update(from, sender);
    member_entry* member = find_entry(sender.record.node);
    if (member == nullptr)
    {
        return;
    }
    if (member->record.incarnation_number == sender.record.incarnation_number)
    {
        member->last_seen = now_;
    }
    else if (member->record.incarnation_number > sender.record.incarnation_number)
    {
        send_records(from, {member->record.node}, true);
    }
    const bool needs_refutation_request =
        member->status != liveness::alive &&
        member->record.incarnation_number == sender.record.incarnation_number &&
        now_ - member->last_refutation_request >= refutation_request_period;
    if (needs_refutation_request && message.kind != datagram_kind::ping)
    {
        request_refutation(*member);
    }
}

void gossip_state::apply_update(const endpoint& from, const member_update& update)
{
    if (update.record.node == self_.record.node)
    {
        apply_update_about_self(from, update);
        return;
    }
    member_entry* member = find_entry(update.record.node);
    if (member != nullptr &&
        member->record.incarnation_number == update.record.incarnation_number)
    {
        apply_update_to_known_member(from, *member, update);
        return;
    }
    const bool is_outdated = member != nullptr && member->record.incarnation_number >
                                                      update.record.incarnation_number;
    if (is_outdated || update.status == liveness::dead)
    {
        return; // Adding unknown dead members would keep them in the fleet forever.
    }
    if (update.full)
    {
        add_or_replace_member(update);
    }
    else
    {
        queue_pull(from, update.record.node);
    }
}

void gossip_state::apply_update_about_self(const endpoint& from,
                                           const member_update& update)
{
    const member_record& record = update.record;
    if (record.incarnation_number < self_.record.incarnation_number)
    {
        return;
    }
    if (record.incarnation_number > self_.record.incarnation_number)
    {
        if (update.full)
        {
            open_id_conflict(record.incarnation_number, record.gossip);
        }
        else
        {
            queue_pull(from, record.node);
        }
        return;
    }
    const bool is_suspect_or_dead = update.status != liveness::alive;
    if (record.sequence > self_.record.sequence ||
        (is_suspect_or_dead && record.sequence == self_.record.sequence))
    {
        self_.record.sequence = record.sequence + 1;
        queue_broadcast(self_, true, false);
    }
}

void gossip_state::apply_update_to_known_member(const endpoint& from,
                                                member_entry& member,
                                                const member_update& update)
{
    if (update.content_sequence > member.content_sequence)
    {
        if (update.full)
        {
            copy_full_fields(member, update);
            record_change(change_kind::changed, member);
            queue_broadcast(member, true, true);
        }
        else
        {
            queue_pull(from, update.record.node);
        }
    }
    if (update.status == liveness::alive)
    {
        apply_alive(member, update);
    }
    else
    {
        apply_suspect_or_dead(member, update);
    }
}

void gossip_state::apply_alive(member_entry& member, const member_update& update)
{
    if (update.record.sequence <= member.record.sequence)
    {
        return;
    }
    const bool state_changed = member.record.state != update.record.state;
    const bool sheet_changed = member.record.sheet != update.record.sheet;
    const bool recovered = member.status != liveness::alive;
    const bool was_dead = member.status == liveness::dead;
    copy_short_fields(member.record, update.record);
    if (recovered)
    {
        set_status(member, liveness::alive, change_kind::recovered);
    }
    if (state_changed || sheet_changed)
    {
        record_change(change_kind::changed, member);
    }
    const bool only_sheet_changed = sheet_changed && !state_changed && !recovered;
    queue_broadcast(member, !only_sheet_changed || alive_count_ < sheet_push_member_limit,
                    false);
    if (was_dead)
    {
        send_digest_rate_limited(member.record.gossip);
        // After a partition heals, many updates are sent at once and some do not reach
        // all members. Without an early digest, single members stay dead for up to 4 s
        // after a partition of 50 members.
        next_digest_ = std::min(next_digest_, now_ + recovery_digest_delay);
    }
}

void gossip_state::apply_suspect_or_dead(member_entry& member,
                                         const member_update& update)
{
    if (update.record.sequence < member.record.sequence)
    {
        return;
    }
    const bool newer = update.record.sequence > member.record.sequence;
    copy_short_fields(member.record, update.record);
    if (member.status != liveness::alive)
    {
        if (newer)
        {
            queue_broadcast(member, true, false);
        }
        return;
    }
    const milliseconds min_silence =
        update.status == liveness::dead ? min_silence_for_dead : min_silence_for_suspect;
    if (now_ - member.last_seen < min_silence)
    {
        if (now_ - member.last_refutation_request >= refutation_request_period)
        {
            member.last_refutation_request = now_;
            datagram ping = make_datagram(datagram_kind::ping);
            ping.nonce = random_();
            ping.target = member.record.node;
            ping.updates.push_back(make_update(member, false));
            ping.updates.back().status = update.status;
            send_datagram(member.record.gossip, ping);
        }
        return;
    }
    // A dead status is applied as suspect, so that the member can refute it here too.
    set_status(member, liveness::suspect, change_kind::suspected);
    queue_broadcast(member, true, false);
}

void gossip_state::add_or_replace_member(const member_update& update)
{
    std::unique_ptr<member_entry>& stored = table_[update.record.node.get()];
    const bool known = stored != nullptr;
    if (!known)
    {
        stored = std::make_unique<member_entry>();
        // Inserts at a random position, because appending would probe new members last.
        const std::size_t position = random_() % (probe_order_.size() + 1);
        probe_order_.push_back(stored.get());
        std::swap(probe_order_[position], probe_order_.back());
        ++alive_count_;
    }
    member_entry& member = *stored;
    if (known && member.status != liveness::alive)
    {
        dead_count_ -= member.status == liveness::dead ? 1 : 0;
        ++alive_count_;
    }
    member.record = update.record;
    member.content_sequence = update.content_sequence;
    member.status = liveness::alive;
    member.status_since = now_;
    member.last_seen = time_point{};
    record_change(change_kind::joined, member);
    if (update.status == liveness::suspect)
    {
        set_status(member, liveness::suspect, change_kind::suspected);
    }
    // Members received in a sync are already known to the others.
    if (!applying_sync_)
    {
        queue_broadcast(member, true, true);
    }
}

void gossip_state::set_status(member_entry& member, liveness status, change_kind kind)
{
    alive_count_ -= member.status == liveness::alive ? 1 : 0;
    dead_count_ -= member.status == liveness::dead ? 1 : 0;
    alive_count_ += status == liveness::alive ? 1 : 0;
    dead_count_ += status == liveness::dead ? 1 : 0;
    member.status = status;
    member.status_since = now_;
    record_change(kind, member);
}

void gossip_state::record_change(change_kind kind, const member_entry& member)
{
    changes_.push_back({kind, {member.record, member.status}});
}

void gossip_state::send_ack(const endpoint& from, const datagram& message)
{
    if (!message.target.get().empty() && message.target != self_.record.node)
    {
        return; // The ping is for a node that had this address before.
    }
    datagram ack = make_datagram(datagram_kind::ack);
    ack.nonce = message.nonce;
    ack.target = message.sender.record.node;
    member_entry* member = find_entry(message.sender.record.node);
    if (member != nullptr && member->status != liveness::alive)
    {
        ack.updates.push_back(make_update(*member, false));
    }
    send_datagram(from, ack);
}

void gossip_state::handle_ack(const endpoint& from, const datagram& message, bool known)
{
    if (!known)
    {
        // The ack is from a contact that is not a member yet, for example in another
        // partition.
        send_digest_rate_limited(from);
    }
    const auto relayed = relayed_probes_.find(message.nonce);
    if (relayed != relayed_probes_.end())
    {
        datagram ack = make_datagram(datagram_kind::ack);
        ack.nonce = relayed->second.requester_nonce;
        ack.target = relayed->second.target;
        ack.updates.push_back(message.sender);
        send_datagram(relayed->second.requester, ack);
        relayed_probes_.erase(relayed);
        return;
    }
    member_entry* member = find_entry(message.target);
    if (member != nullptr && member->status == liveness::alive)
    {
        member->last_seen = now_; // Relayed by another member.
    }
}

void gossip_state::relay_ping(const endpoint& from, const datagram& message)
{
    if (!message.via || message.target == self_.record.node)
    {
        return;
    }
    for (auto pending = relayed_probes_.begin(); pending != relayed_probes_.end();)
    {
        pending = pending->second.expires <= now_ ? relayed_probes_.erase(pending)
                                                  : std::next(pending);
    }
    const std::uint64_t nonce = random_();
    relayed_probes_[nonce] = {from, message.target, message.nonce, now_ + relay_timeout};
    datagram ping = make_datagram(datagram_kind::ping);
    ping.nonce = nonce;
    ping.target = message.target;
    for (const member_update& update : message.updates)
    {
        if (update.record.node == message.target)
        {
            ping.updates.push_back(update);
        }
    }
    send_datagram(*message.via, ping);
}

member_entry* gossip_state::find_entry(const node_id& node)
{
    const auto found = table_.find(node.get());
    return found == table_.end() ? nullptr : found->second.get();
}

} // namespace fescueridge::detail
