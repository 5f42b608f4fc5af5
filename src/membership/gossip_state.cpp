#include "gossip_state.hpp"

#include <algorithm>
#include <utility>

namespace fescueridge::detail
{

namespace
{

// Period of repeated pings, so that a probe does not fail because of one lost datagram.
constexpr milliseconds direct_repeat{150};

// Time from the first ping to the first indirect probe, and period of further ones.
constexpr milliseconds indirect_after{250};

// A probe without an ack for this long has failed.
constexpr milliseconds probe_timeout{600};

// Period of pushes while there are urgent updates.
constexpr milliseconds push_period{100};

// Time until another contact is tried if one does not answer a join.
constexpr milliseconds join_period{250};

// Period of digests from a node that has recently joined.
constexpr milliseconds young_digest_period{1000};

// Period of joins while a node knows no live member.
constexpr milliseconds rejoin_period{1000};

// Ticks are 50 ms apart. A longer gap than this means that this process was paused, so a
// missing ack is no evidence that another member failed.
constexpr milliseconds pause_threshold{400};

// Suspects notified per tick; the others follow in later ticks.
constexpr std::size_t max_reminders = 8;

constexpr milliseconds forget_period{60'000};

// Compares the fields that only full updates transmit.
bool differs_in_content(const member_record& a, const member_record& b)
{
    return a.link != b.link || a.operator_port != b.operator_port ||
           a.gossip != b.gossip || a.domain != b.domain || a.region != b.region ||
           a.service != b.service || a.warm_up != b.warm_up || a.slots != b.slots;
}

} // namespace

gossip_state::gossip_state(member_record self, std::vector<endpoint> contacts,
                           random_engine random, time_point now, gossip_options options)
    : options_(options), random_(random), contacts_(std::move(contacts)), now_(now),
      last_tick_(now)
{
    self_.record = std::move(self);
    const auto period = static_cast<std::uint64_t>(options_.probe_period.count());
    next_probe_ = now + milliseconds(random_() % period);
    next_dead_probe_ = now + options_.dead_probe_period;
    next_join_ = now;
    next_digest_ = now + options_.digest_period;
    next_push_ = now;
    next_forget_ = now + forget_period;
    spread_news(self_, true, true);
}

std::vector<outgoing_datagram> gossip_state::tick(time_point now)
{
    out_.clear();
    const milliseconds passed = now - last_tick_;
    last_tick_ = now;
    if (passed > pause_threshold)
    {
        skip_pause(now);
    }
    now_ = now;
    if (superseded_)
    {
        return {};
    }
    const double rate = options_.piggyback_bytes_per_second;
    allowance_ = std::min(4 * rate, allowance_ + rate * double(passed.count()) / 1000);
    send_join();
    if (now >= next_probe_)
    {
        next_probe_ = std::max(next_probe_ + options_.probe_period, now);
        start_probe();
    }
    advance_probes();
    expire_suspects();
    probe_dead();
    advance_contest();
    advance_syncs();
    if (now >= next_digest_)
    {
        next_digest_ =
            now + (now < young_until_ ? young_digest_period : options_.digest_period);
        if (entry* peer = random_member(liveness::alive))
        {
            start_digest(peer->record.gossip);
        }
    }
    push_news();
    forget_old();
    flush_wanted();
    return std::exchange(out_, {});
}

void gossip_state::skip_pause(time_point now)
{
    probes_.clear();
    for (entry* item : order_)
    {
        if (item->status == liveness::suspect)
        {
            item->status_since = now;
        }
    }
}

entry* gossip_state::next_probe_target()
{
    for (std::size_t tries = 0; tries < order_.size(); ++tries)
    {
        if (next_in_order_ >= order_.size())
        {
            std::shuffle(order_.begin(), order_.end(), random_);
            next_in_order_ = 0;
        }
        entry* item = order_[next_in_order_++];
        if (item->status == liveness::alive)
        {
            return item;
        }
    }
    return nullptr;
}

void gossip_state::start_probe()
{
    if (entry* target = next_probe_target())
    {
        probes_.push_back({target->record.node, random_(), now_, now_ + direct_repeat,
                           now_ + indirect_after});
        send_ping(*target, probes_.back().nonce);
    }
}

void gossip_state::send_ping(const entry& target, std::uint64_t nonce)
{
    datagram ping = make(datagram_kind::ping);
    ping.nonce = nonce;
    ping.target = target.record.node;
    if (target.status != liveness::alive)
    {
        ping.updates.push_back(make_update(target, false));
    }
    send(target.record.gossip, ping);
}

void gossip_state::send_indirect(const entry& target, std::uint64_t nonce)
{
    datagram request = make(datagram_kind::ping_request);
    request.nonce = nonce;
    request.target = target.record.node;
    request.via = target.record.gossip;
    if (target.status != liveness::alive)
    {
        request.updates.push_back(make_update(target, false));
    }
    for (entry* helper : random_alive(options_.indirect_probes, &target))
    {
        send(helper->record.gossip, request);
    }
}

void gossip_state::advance_probes()
{
    const auto done = [this](probe& item)
    {
        return !advance_probe(item);
    };
    probes_.erase(std::remove_if(probes_.begin(), probes_.end(), done), probes_.end());
}

bool gossip_state::advance_probe(probe& item)
{
    entry* target = lookup(item.target);
    if (target == nullptr || target->status != liveness::alive ||
        target->last_heard >= item.started)
    {
        return false;
    }
    const time_point limit = std::max(item.started + probe_timeout,
                                      target->last_heard + options_.suspect_after);
    if (now_ >= limit)
    {
        set_status(*target, liveness::suspect, change_kind::suspected);
        spread_news(*target, true, false);
        remind(*target);
        return false;
    }
    if (now_ >= item.next_direct)
    {
        item.next_direct = now_ + direct_repeat;
        send_ping(*target, item.nonce);
    }
    if (now_ >= item.next_indirect)
    {
        item.next_indirect = now_ + indirect_after;
        send_indirect(*target, item.nonce);
    }
    return true;
}

void gossip_state::remind(entry& item)
{
    item.last_reminder = now_;
    const std::uint64_t nonce = random_();
    send_ping(item, nonce);
    if (item.status == liveness::suspect)
    {
        send_indirect(item, nonce);
    }
}

void gossip_state::expire_suspects()
{
    std::size_t reminders = 0;
    for (entry* item : order_)
    {
        if (item->status != liveness::suspect)
        {
            continue;
        }
        if (now_ - item->status_since >= options_.refute_within)
        {
            set_status(*item, liveness::dead, change_kind::died);
            spread_news(*item, true, false);
        }
        else if (now_ - item->last_reminder >= push_period && reminders < max_reminders &&
                 now_ - item->last_heard < 10 * options_.suspect_after)
        {
            // Only nodes with recent contact to the suspect notify it. Otherwise, at the
            // design size, it would receive thousands of these datagrams at once.
            ++reminders;
            remind(*item);
        }
    }
}

void gossip_state::probe_dead()
{
    if (now_ < next_dead_probe_)
    {
        return;
    }
    next_dead_probe_ = now_ + options_.dead_probe_period;
    if (entry* item = dead_ > 0 ? random_member(liveness::dead) : nullptr)
    {
        remind(*item);
    }
    probe_contact();
}

void gossip_state::probe_contact()
{
    if (contacts_.empty())
    {
        return;
    }
    // Partitions that were started separately can find each other only through contacts.
    const endpoint& contact = contacts_[random_() % contacts_.size()];
    const auto lives_there = [&](const entry* item)
    {
        return item->status != liveness::dead && item->record.gossip == contact;
    };
    if (contact == self_.record.gossip ||
        std::any_of(order_.begin(), order_.end(), lives_there))
    {
        return;
    }
    datagram ping = make(datagram_kind::ping);
    ping.nonce = random_();
    send(contact, ping);
}

void gossip_state::advance_contest()
{
    if (!contest_)
    {
        return;
    }
    if (now_ >= contest_->deadline || contest_->address == self_.record.gossip)
    {
        self_.record.number = incarnation(contest_->number.get() + 1);
        self_.record.sequence = 1;
        self_.content = 1;
        contest_.reset();
        report(change_kind::self_raised, self_);
        spread_news(self_, true, true);
    }
    else if (now_ >= contest_->next_probe)
    {
        contest_->next_probe = now_ + direct_repeat;
        datagram ping = make(datagram_kind::ping);
        ping.nonce = contest_->nonce;
        ping.target = self_.record.node;
        send(contest_->address, ping);
    }
}

void gossip_state::push_news()
{
    if (now_ < next_push_)
    {
        return;
    }
    const auto urgent = [](const entry* item)
    {
        return item->news.urgent && item->news.left > 0;
    };
    if (std::none_of(hot_.begin(), hot_.end(), urgent))
    {
        return;
    }
    next_push_ = now_ + push_period;
    for (entry* receiver : random_alive(options_.push_fanout, nullptr))
    {
        send(receiver->record.gossip, make(datagram_kind::push));
    }
}

entry* gossip_state::random_member(liveness status)
{
    if (order_.empty())
    {
        return nullptr;
    }
    // A scan from a random position alone would select members that follow a run of other
    // statuses more often.
    for (int tries = 0; tries < 8; ++tries)
    {
        entry* item = order_[random_() % order_.size()];
        if (item->status == status)
        {
            return item;
        }
    }
    const std::size_t start = random_() % order_.size();
    for (std::size_t i = 0; i < order_.size(); ++i)
    {
        entry* item = order_[(start + i) % order_.size()];
        if (item->status == status)
        {
            return item;
        }
    }
    return nullptr;
}

std::vector<entry*> gossip_state::random_alive(std::size_t count, const entry* except)
{
    std::vector<entry*> result;
    for (std::size_t tries = 0; tries < 4 * count && result.size() < count; ++tries)
    {
        entry* item = random_member(liveness::alive);
        if (item != nullptr && item != except &&
            std::find(result.begin(), result.end(), item) == result.end())
        {
            result.push_back(item);
        }
    }
    return result;
}

void gossip_state::forget_old()
{
    if (now_ < next_forget_)
    {
        return;
    }
    next_forget_ = now_ + forget_period;
    const auto old = [this](const entry* item)
    {
        return item->status == liveness::dead &&
               now_ - item->status_since >= options_.forget_after;
    };
    hot_.erase(std::remove_if(hot_.begin(), hot_.end(), old), hot_.end());
    const auto first_old = std::stable_partition(
        order_.begin(), order_.end(), [&](const entry* item) { return !old(item); });
    for (auto item = first_old; item != order_.end(); ++item)
    {
        report(change_kind::forgotten, **item);
        --dead_;
        const std::string name = (*item)->record.node.get();
        table_.erase(name);
    }
    order_.erase(first_old, order_.end());
}

void gossip_state::send_join()
{
    const bool alone = alive_ == 0;
    if (now_ < next_join_ || contacts_.empty() || (synced_ && !alone))
    {
        return;
    }
    next_join_ = now_ + (synced_ || !alone ? rejoin_period : join_period);
    endpoint contact = contacts_[random_() % contacts_.size()];
    const entry* member = random_member(liveness::alive);
    if (member != nullptr && random_() % 4 != 0)
    {
        // Spreads the load of many nodes that start at once over more than the contacts.
        contact = member->record.gossip;
    }
    if (contact == self_.record.gossip)
    {
        return;
    }
    datagram join = make(datagram_kind::join);
    join.updates.push_back(make_update(self_, true));
    send(contact, join);
}

void gossip_state::update_self(const std::function<void(member_record&)>& edit)
{
    const member_record before = self_.record;
    edit(self_.record);
    self_.record.node = before.node;
    self_.record.number = before.number;
    self_.record.sequence = before.sequence + 1;
    const bool full = differs_in_content(before, self_.record);
    if (full)
    {
        self_.content = self_.record.sequence;
    }
    // In a large fleet, sheet versions change too often for urgent updates.
    const bool urgent =
        full || before.state != self_.record.state || alive_ < max_pushed_sheets;
    spread_news(self_, urgent, full);
    next_push_ = now_;
}

void gossip_state::add_contacts(const std::vector<endpoint>& contacts)
{
    for (const endpoint& contact : contacts)
    {
        if (std::find(contacts_.begin(), contacts_.end(), contact) == contacts_.end())
        {
            contacts_.push_back(contact);
        }
    }
}

std::vector<member_view> gossip_state::members() const
{
    std::vector<member_view> result;
    result.reserve(order_.size());
    for (const entry* item : order_)
    {
        result.push_back({item->record, item->status});
    }
    return result;
}

std::optional<member_view> gossip_state::find(const node_id& node) const
{
    const auto found = table_.find(node.get());
    if (found == table_.end())
    {
        return std::nullopt;
    }
    return member_view{found->second->record, found->second->status};
}

std::vector<member_change> gossip_state::take_changes()
{
    std::vector<member_change> result;
    result.swap(changes_);
    return result;
}

} // namespace fescueridge::detail
