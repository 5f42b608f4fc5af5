#include "gossip_state.hpp"

#include <algorithm>
#include <utility>

namespace fescueridge::detail
{

namespace
{

// Period of repeated pings, so that a probe does not fail because of one lost datagram.
constexpr milliseconds ping_retry_period{150};

// Time from the first ping to the first indirect probe, and period of further ones.
constexpr milliseconds indirect_probe_period{250};

// A probe without an ack for this long has failed.
constexpr milliseconds probe_timeout{600};

// Period of pushes while there are urgent updates.
constexpr milliseconds push_period{100};

// Period of joins while no live member is known, each to a random contact.
constexpr milliseconds join_retry_period{250};

// Period of digests from a node that has recently joined.
constexpr milliseconds frequent_digest_period{1000};

// Period of joins once a live member is known or the table has been received.
constexpr milliseconds rejoin_period{1000};

// Ticks are 50 ms apart. A longer gap than this means that this process was paused, so a
// missing ack is no evidence that another member failed.
constexpr milliseconds pause_threshold{400};

// Refutation requests per tick; suspects beyond it are asked in later ticks.
constexpr std::size_t max_refutation_requests_per_tick = 8;

constexpr milliseconds forget_check_period{60'000};

// Compares the fields that only full updates transmit.
bool full_fields_differ(const member_record& a, const member_record& b)
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
    next_forget_ = now + forget_check_period;
    queue_broadcast(self_, true, true);
}

std::vector<outgoing_datagram> gossip_state::tick(time_point now)
{
    outgoing_.clear();
    const milliseconds elapsed = now - last_tick_;
    last_tick_ = now;
    if (elapsed > pause_threshold)
    {
        reset_after_pause(now);
    }
    now_ = now;
    if (superseded_)
    {
        return {};
    }
    const double bytes_per_second = options_.piggyback_bytes_per_second;
    piggyback_budget_bytes_ = std::min(
        4 * bytes_per_second,
        piggyback_budget_bytes_ + bytes_per_second * double(elapsed.count()) / 1000);
    send_join();
    if (now >= next_probe_)
    {
        next_probe_ = std::max(next_probe_ + options_.probe_period, now);
        start_probe();
    }
    advance_probes();
    expire_suspects();
    probe_dead_member();
    resolve_id_conflict();
    advance_syncs();
    if (now >= next_digest_)
    {
        next_digest_ = now + (now < frequent_digests_until_ ? frequent_digest_period
                                                            : options_.digest_period);
        if (member_entry* peer = random_member(liveness::alive))
        {
            send_digest(peer->record.gossip);
        }
    }
    push_urgent_updates();
    forget_dead_members();
    send_pulls();
    return std::exchange(outgoing_, {});
}

void gossip_state::reset_after_pause(time_point now)
{
    probes_.clear();
    for (member_entry* member : probe_order_)
    {
        if (member->status == liveness::suspect)
        {
            member->status_since = now;
        }
    }
}

member_entry* gossip_state::next_probe_target()
{
    for (std::size_t attempt = 0; attempt < probe_order_.size(); ++attempt)
    {
        if (next_probe_index_ >= probe_order_.size())
        {
            std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
            next_probe_index_ = 0;
        }
        member_entry* member = probe_order_[next_probe_index_++];
        if (member->status == liveness::alive)
        {
            return member;
        }
    }
    return nullptr;
}

void gossip_state::start_probe()
{
    if (member_entry* target = next_probe_target())
    {
        probes_.push_back({target->record.node, random_(), now_, now_ + ping_retry_period,
                           now_ + indirect_probe_period});
        send_ping(*target, probes_.back().nonce);
    }
}

void gossip_state::send_ping(const member_entry& target, std::uint64_t nonce)
{
    datagram ping = make_datagram(datagram_kind::ping);
    ping.nonce = nonce;
    ping.target = target.record.node;
    if (target.status != liveness::alive)
    {
        ping.updates.push_back(make_update(target, false));
    }
    send_datagram(target.record.gossip, ping);
}

void gossip_state::send_ping_requests(const member_entry& target, std::uint64_t nonce)
{
    datagram request = make_datagram(datagram_kind::ping_request);
    request.nonce = nonce;
    request.target = target.record.node;
    request.via = target.record.gossip;
    if (target.status != liveness::alive)
    {
        request.updates.push_back(make_update(target, false));
    }
    for (member_entry* relay_member :
         random_alive_members(options_.indirect_probe_count, &target))
    {
        send_datagram(relay_member->record.gossip, request);
    }
}

void gossip_state::advance_probes()
{
    const auto is_finished = [this](probe& pending)
    {
        return !advance_probe(pending);
    };
    probes_.erase(std::remove_if(probes_.begin(), probes_.end(), is_finished),
                  probes_.end());
}

bool gossip_state::advance_probe(probe& pending)
{
    member_entry* target = find_entry(pending.target);
    if (target == nullptr || target->status != liveness::alive ||
        target->last_seen >= pending.started)
    {
        return false;
    }
    const time_point deadline = std::max(pending.started + probe_timeout,
                                         target->last_seen + options_.suspect_after);
    if (now_ >= deadline)
    {
        set_status(*target, liveness::suspect, change_kind::suspected);
        queue_broadcast(*target, true, false);
        request_refutation(*target);
        return false;
    }
    if (now_ >= pending.next_ping)
    {
        pending.next_ping = now_ + ping_retry_period;
        send_ping(*target, pending.nonce);
    }
    if (now_ >= pending.next_ping_request)
    {
        pending.next_ping_request = now_ + indirect_probe_period;
        send_ping_requests(*target, pending.nonce);
    }
    return true;
}

void gossip_state::request_refutation(member_entry& member)
{
    member.last_refutation_request = now_;
    const std::uint64_t nonce = random_();
    send_ping(member, nonce);
    if (member.status == liveness::suspect)
    {
        send_ping_requests(member, nonce);
    }
}

void gossip_state::expire_suspects()
{
    std::size_t requests = 0;
    for (member_entry* member : probe_order_)
    {
        if (member->status != liveness::suspect)
        {
            continue;
        }
        if (now_ - member->status_since >= options_.suspicion_timeout)
        {
            set_status(*member, liveness::dead, change_kind::died);
            queue_broadcast(*member, true, false);
        }
        else if (now_ - member->last_refutation_request >= push_period &&
                 requests < max_refutation_requests_per_tick &&
                 now_ - member->last_seen < 10 * options_.suspect_after)
        {
            // Only nodes with recent contact to the suspect send it requests. Otherwise,
            // at the design size, it would receive thousands of them at once.
            ++requests;
            request_refutation(*member);
        }
    }
}

void gossip_state::probe_dead_member()
{
    if (now_ < next_dead_probe_)
    {
        return;
    }
    next_dead_probe_ = now_ + options_.dead_probe_period;
    if (member_entry* member = dead_count_ > 0 ? random_member(liveness::dead) : nullptr)
    {
        request_refutation(*member);
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
    const auto uses_contact_address = [&](const member_entry* member)
    {
        return member->status != liveness::dead && member->record.gossip == contact;
    };
    if (contact == self_.record.gossip ||
        std::any_of(probe_order_.begin(), probe_order_.end(), uses_contact_address))
    {
        return;
    }
    datagram ping = make_datagram(datagram_kind::ping);
    ping.nonce = random_();
    send_datagram(contact, ping);
}

void gossip_state::resolve_id_conflict()
{
    if (!id_conflict_)
    {
        return;
    }
    if (now_ >= id_conflict_->deadline || id_conflict_->address == self_.record.gossip)
    {
        self_.record.incarnation_number =
            incarnation(id_conflict_->incarnation_number.get() + 1);
        self_.record.sequence = 1;
        self_.content_sequence = 1;
        id_conflict_.reset();
        record_change(change_kind::self_raised, self_);
        queue_broadcast(self_, true, true);
    }
    else if (now_ >= id_conflict_->next_probe)
    {
        id_conflict_->next_probe = now_ + ping_retry_period;
        datagram ping = make_datagram(datagram_kind::ping);
        ping.nonce = id_conflict_->nonce;
        ping.target = self_.record.node;
        send_datagram(id_conflict_->address, ping);
    }
}

void gossip_state::push_urgent_updates()
{
    if (now_ < next_push_)
    {
        return;
    }
    const auto is_urgent = [](const member_entry* member)
    {
        return member->broadcast.urgent && member->broadcast.transmissions_left > 0;
    };
    if (std::none_of(broadcast_queue_.begin(), broadcast_queue_.end(), is_urgent))
    {
        return;
    }
    next_push_ = now_ + push_period;
    for (member_entry* receiver : random_alive_members(options_.push_fanout, nullptr))
    {
        send_datagram(receiver->record.gossip, make_datagram(datagram_kind::push));
    }
}

member_entry* gossip_state::random_member(liveness status)
{
    if (probe_order_.empty())
    {
        return nullptr;
    }
    // A scan from a random position alone would select members that follow a run of other
    // statuses more often.
    for (int attempt = 0; attempt < 8; ++attempt)
    {
        member_entry* member = probe_order_[random_() % probe_order_.size()];
        if (member->status == status)
        {
            return member;
        }
    }
    const std::size_t start = random_() % probe_order_.size();
    for (std::size_t i = 0; i < probe_order_.size(); ++i)
    {
        member_entry* member = probe_order_[(start + i) % probe_order_.size()];
        if (member->status == status)
        {
            return member;
        }
    }
    return nullptr;
}

std::vector<member_entry*> gossip_state::random_alive_members(std::size_t count,
                                                              const member_entry* except)
{
    std::vector<member_entry*> result;
    for (std::size_t attempt = 0; attempt < 4 * count && result.size() < count; ++attempt)
    {
        member_entry* member = random_member(liveness::alive);
        if (member != nullptr && member != except &&
            std::find(result.begin(), result.end(), member) == result.end())
        {
            result.push_back(member);
        }
    }
    return result;
}

void gossip_state::forget_dead_members()
{
    if (now_ < next_forget_)
    {
        return;
    }
    next_forget_ = now_ + forget_check_period;
    const auto is_expired = [this](const member_entry* member)
    {
        return member->status == liveness::dead &&
               now_ - member->status_since >= options_.forget_after;
    };
    broadcast_queue_.erase(
        std::remove_if(broadcast_queue_.begin(), broadcast_queue_.end(), is_expired),
        broadcast_queue_.end());
    const auto first_expired = std::stable_partition(
        probe_order_.begin(), probe_order_.end(),
        [&](const member_entry* member) { return !is_expired(member); });
    for (auto expired = first_expired; expired != probe_order_.end(); ++expired)
    {
        record_change(change_kind::forgotten, **expired);
        --dead_count_;
        const std::string node_name = (*expired)->record.node.get();
        table_.erase(node_name);
    }
    probe_order_.erase(first_expired, probe_order_.end());
}

void gossip_state::send_join()
{
    const bool no_live_member = alive_count_ == 0;
    if (now_ < next_join_ || contacts_.empty() || (table_received_ && !no_live_member))
    {
        return;
    }
    next_join_ =
        now_ + (table_received_ || !no_live_member ? rejoin_period : join_retry_period);
    endpoint contact = contacts_[random_() % contacts_.size()];
    const member_entry* member = random_member(liveness::alive);
    if (member != nullptr && random_() % 4 != 0)
    {
        // Spreads the load of many nodes that start at once over more than the contacts.
        contact = member->record.gossip;
    }
    if (contact == self_.record.gossip)
    {
        return;
    }
    datagram join = make_datagram(datagram_kind::join);
    join.updates.push_back(make_update(self_, true));
    send_datagram(contact, join);
}

void gossip_state::update_self(const std::function<void(member_record&)>& edit)
{
    const member_record before = self_.record;
    edit(self_.record);
    self_.record.node = before.node;
    self_.record.incarnation_number = before.incarnation_number;
    self_.record.sequence = before.sequence + 1;
    const bool full = full_fields_differ(before, self_.record);
    if (full)
    {
        self_.content_sequence = self_.record.sequence;
    }
    // In a large fleet, sheet versions change too often for urgent updates.
    const bool urgent = full || before.state != self_.record.state ||
                        alive_count_ < sheet_push_member_limit;
    queue_broadcast(self_, urgent, full);
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
    result.reserve(probe_order_.size());
    for (const member_entry* member : probe_order_)
    {
        result.push_back({member->record, member->status});
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
