#include <algorithm>
#include <utility>

#include "gossip_state.hpp"

namespace fescueridge::detail
{

namespace
{

// Time within which a node with the own id and a higher incarnation must answer a probe.
constexpr milliseconds contest_timeout{1500};

// An update that a member is suspect or dead is not applied if this node had contact with
// the member within this time. Otherwise both sides of a healed partition would briefly
// mark their own members as suspect or dead.
constexpr milliseconds recent_for_suspect{500};
constexpr milliseconds recent_for_dead{1000};

// Maximum time from the return of a dead member to the next digest.
constexpr milliseconds recovery_digest{500};

// Minimum interval between datagrams that notify a member that it is suspect or dead.
constexpr milliseconds reminder_period{100};

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
void copy_content(entry& to, const update& from)
{
    const member_record short_fields = to.record;
    to.record = from.record;
    copy_short_fields(to.record, short_fields);
    to.content = from.content;
}

} // namespace

std::vector<outgoing_datagram> gossip_state::receive(time_point now, const endpoint& from,
                                                     std::string_view bytes)
{
    const datagram message = decode(bytes);
    now_ = std::max(now_, now);
    out_.clear();
    if (superseded_)
    {
        return {};
    }
    handle(from, message);
    flush_wanted();
    return std::exchange(out_, {});
}

void gossip_state::handle(const endpoint& from, const datagram& message)
{
    if (message.sender.record.node == self_.record.node)
    {
        handle_own_id(from, message);
        return;
    }
    const bool known = lookup(message.sender.record.node) != nullptr;
    in_sync_ = message.kind == datagram_kind::sync;
    for (const update& news : message.updates)
    {
        apply(from, news);
    }
    in_sync_ = false;
    note_sender(from, message);
    switch (message.kind)
    {
    case datagram_kind::ping:
        acknowledge(from, message);
        break;
    case datagram_kind::ack:
        take_ack(from, message, known);
        break;
    case datagram_kind::ping_request:
        relay(from, message);
        break;
    case datagram_kind::join:
        start_sync(from);
        break;
    case datagram_kind::sync:
        take_sync(message);
        break;
    case datagram_kind::digest:
        answer_digest(from, message);
        break;
    case datagram_kind::digest_reply:
        answer_buckets(from, message);
        break;
    case datagram_kind::pull:
        send_nodes(from, message.wanted, true);
        break;
    case datagram_kind::push:
        break;
    }
}

void gossip_state::handle_own_id(const endpoint& from, const datagram& message)
{
    const incarnation& number = message.sender.record.number;
    if (number == self_.record.number)
    {
        return; // A datagram of this process that returned to it.
    }
    if (number < self_.record.number)
    {
        if (message.kind == datagram_kind::ping)
        {
            acknowledge(from, message);
        }
        send_nodes(from, {self_.record.node}, true);
        return;
    }
    const bool answered = message.kind == datagram_kind::ack && contest_ &&
                          message.nonce == contest_->nonce;
    if (answered)
    {
        // Only an ack proves that the other node is alive. Other datagrams may have been
        // delayed in the network since before it stopped.
        superseded_ = true;
        contest_.reset();
        report(change_kind::duplicate_id, self_);
        return;
    }
    start_contest(number, from);
}

void gossip_state::start_contest(const incarnation& number, const endpoint& address)
{
    if (contest_ && contest_->number >= number)
    {
        return;
    }
    contest_ = contest{number, address, random_(), now_ + contest_timeout, now_};
}

void gossip_state::note_sender(const endpoint& from, const datagram& message)
{
    const update& sender = message.sender;
    apply(from, sender);
    entry* item = lookup(sender.record.node);
    if (item == nullptr)
    {
        return;
    }
    if (item->record.number == sender.record.number)
    {
        item->last_heard = now_;
    }
    else if (item->record.number > sender.record.number)
    {
        send_nodes(from, {item->record.node}, true);
    }
    const bool to_be_told = item->status != liveness::alive &&
                            item->record.number == sender.record.number &&
                            now_ - item->last_reminder >= reminder_period;
    if (to_be_told && message.kind != datagram_kind::ping)
    {
        remind(*item);
    }
}

void gossip_state::apply(const endpoint& from, const update& news)
{
    if (news.record.node == self_.record.node)
    {
        apply_about_self(from, news);
        return;
    }
    entry* item = lookup(news.record.node);
    if (item != nullptr && item->record.number == news.record.number)
    {
        apply_to_known(from, *item, news);
        return;
    }
    const bool old = item != nullptr && item->record.number > news.record.number;
    if (old || news.status == liveness::dead)
    {
        return; // Adding unknown dead members would keep them in the fleet forever.
    }
    if (news.full)
    {
        add_member(news);
    }
    else
    {
        want(from, news.record.node);
    }
}

void gossip_state::apply_about_self(const endpoint& from, const update& news)
{
    const member_record& claimed = news.record;
    if (claimed.number < self_.record.number)
    {
        return;
    }
    if (claimed.number > self_.record.number)
    {
        if (news.full)
        {
            start_contest(claimed.number, claimed.gossip);
        }
        else
        {
            want(from, claimed.node);
        }
        return;
    }
    const bool doubted = news.status != liveness::alive;
    if (claimed.sequence > self_.record.sequence ||
        (doubted && claimed.sequence == self_.record.sequence))
    {
        self_.record.sequence = claimed.sequence + 1;
        spread_news(self_, true, false);
    }
}

void gossip_state::apply_to_known(const endpoint& from, entry& item, const update& news)
{
    if (news.content > item.content)
    {
        if (news.full)
        {
            copy_content(item, news);
            report(change_kind::changed, item);
            spread_news(item, true, true);
        }
        else
        {
            want(from, news.record.node);
        }
    }
    if (news.status == liveness::alive)
    {
        apply_alive(item, news);
    }
    else
    {
        apply_claim(item, news);
    }
}

void gossip_state::apply_alive(entry& item, const update& news)
{
    if (news.record.sequence <= item.record.sequence)
    {
        return;
    }
    const bool state_changed = item.record.state != news.record.state;
    const bool sheet_changed = item.record.sheet != news.record.sheet;
    const bool recovered = item.status != liveness::alive;
    const bool was_dead = item.status == liveness::dead;
    copy_short_fields(item.record, news.record);
    if (recovered)
    {
        set_status(item, liveness::alive, change_kind::recovered);
    }
    if (state_changed || sheet_changed)
    {
        report(change_kind::changed, item);
    }
    const bool only_sheet = sheet_changed && !state_changed && !recovered;
    spread_news(item, !only_sheet || alive_ < max_pushed_sheets, false);
    if (was_dead)
    {
        start_digest_now_and_then(item.record.gossip);
        // After a partition heals, many updates are sent at once and some do not reach
        // all members. Without an early digest, single members stay dead for up to 4 s
        // after a partition of 50 members.
        next_digest_ = std::min(next_digest_, now_ + recovery_digest);
    }
}

void gossip_state::apply_claim(entry& item, const update& news)
{
    if (news.record.sequence < item.record.sequence)
    {
        return;
    }
    const bool newer = news.record.sequence > item.record.sequence;
    copy_short_fields(item.record, news.record);
    if (item.status != liveness::alive)
    {
        if (newer)
        {
            spread_news(item, true, false);
        }
        return;
    }
    const milliseconds recent =
        news.status == liveness::dead ? recent_for_dead : recent_for_suspect;
    if (now_ - item.last_heard < recent)
    {
        if (now_ - item.last_reminder >= reminder_period)
        {
            item.last_reminder = now_;
            datagram ping = make(datagram_kind::ping);
            ping.nonce = random_();
            ping.target = item.record.node;
            ping.updates.push_back(make_update(item, false));
            ping.updates.back().status = news.status;
            send(item.record.gossip, ping);
        }
        return;
    }
    // A dead status is applied as suspect, so that the member can refute it here too.
    set_status(item, liveness::suspect, change_kind::suspected);
    spread_news(item, true, false);
}

void gossip_state::add_member(const update& news)
{
    std::unique_ptr<entry>& place = table_[news.record.node.get()];
    const bool known = place != nullptr;
    if (!known)
    {
        place = std::make_unique<entry>();
        // Inserts at a random position, because appending would probe new members last.
        const std::size_t spot = random_() % (order_.size() + 1);
        order_.push_back(place.get());
        std::swap(order_[spot], order_.back());
        ++alive_;
    }
    entry& item = *place;
    if (known && item.status != liveness::alive)
    {
        dead_ -= item.status == liveness::dead ? 1 : 0;
        ++alive_;
    }
    item.record = news.record;
    item.content = news.content;
    item.status = liveness::alive;
    item.status_since = now_;
    item.last_heard = time_point{};
    report(change_kind::joined, item);
    if (news.status == liveness::suspect)
    {
        set_status(item, liveness::suspect, change_kind::suspected);
    }
    // Members received in a sync are already known to the others.
    if (!in_sync_)
    {
        spread_news(item, true, true);
    }
}

void gossip_state::set_status(entry& item, liveness status, change_kind kind)
{
    alive_ -= item.status == liveness::alive ? 1 : 0;
    dead_ -= item.status == liveness::dead ? 1 : 0;
    alive_ += status == liveness::alive ? 1 : 0;
    dead_ += status == liveness::dead ? 1 : 0;
    item.status = status;
    item.status_since = now_;
    report(kind, item);
}

void gossip_state::report(change_kind kind, const entry& item)
{
    changes_.push_back({kind, {item.record, item.status}});
}

void gossip_state::acknowledge(const endpoint& from, const datagram& message)
{
    if (!message.target.get().empty() && message.target != self_.record.node)
    {
        return; // The ping is for a node that had this address before.
    }
    datagram ack = make(datagram_kind::ack);
    ack.nonce = message.nonce;
    ack.target = message.sender.record.node;
    entry* item = lookup(message.sender.record.node);
    if (item != nullptr && item->status != liveness::alive)
    {
        ack.updates.push_back(make_update(*item, false));
    }
    send(from, ack);
}

void gossip_state::take_ack(const endpoint& from, const datagram& message, bool known)
{
    if (!known)
    {
        // The ack is from a contact that is not a member yet, for example in another
        // partition.
        start_digest_now_and_then(from);
    }
    const auto relayed = relayed_.find(message.nonce);
    if (relayed != relayed_.end())
    {
        datagram ack = make(datagram_kind::ack);
        ack.nonce = relayed->second.asker_nonce;
        ack.target = relayed->second.target;
        ack.updates.push_back(message.sender);
        send(relayed->second.asker, ack);
        relayed_.erase(relayed);
        return;
    }
    entry* item = lookup(message.target);
    if (item != nullptr && item->status == liveness::alive)
    {
        item->last_heard = now_; // Relayed by another member.
    }
}

void gossip_state::relay(const endpoint& from, const datagram& message)
{
    if (!message.via || message.target == self_.record.node)
    {
        return;
    }
    for (auto item = relayed_.begin(); item != relayed_.end();)
    {
        item = item->second.expires <= now_ ? relayed_.erase(item) : std::next(item);
    }
    const std::uint64_t nonce = random_();
    relayed_[nonce] = {from, message.target, message.nonce, now_ + relay_timeout};
    datagram ping = make(datagram_kind::ping);
    ping.nonce = nonce;
    ping.target = message.target;
    for (const update& news : message.updates)
    {
        if (news.record.node == message.target)
        {
            ping.updates.push_back(news);
        }
    }
    send(*message.via, ping);
}

entry* gossip_state::lookup(const node_id& node)
{
    const auto found = table_.find(node.get());
    return found == table_.end() ? nullptr : found->second.get();
}

} // namespace fescueridge::detail
