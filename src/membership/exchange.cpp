#include <algorithm>
#include <cmath>

#include "fescueridge/base/random.hpp"
#include "gossip_state.hpp"

namespace fescueridge::detail
{

namespace
{

// Sync datagrams per tick. This limits them to 200 per second, which does not overflow
// the socket buffer of a joining node (about 200 kB).
constexpr std::size_t max_sync_datagrams_per_tick = 10;

// Whole tables queued for sending. Further joining nodes receive the records of some
// other members to join through, because one contact would need minutes to serve 1,000
// nodes that start at once.
constexpr std::size_t max_queued_syncs = 4;
constexpr std::size_t referral_count = 8;

// Time after a sync datagram until the table is requested from another node.
constexpr milliseconds sync_stall_timeout{1000};

// Time from the end of a sync to a digest, which finds records lost in the sync.
constexpr milliseconds first_digest_delay{1000};

// Duration of frequent digests after joining. The received table may be incomplete if its
// sender has itself just started.
constexpr milliseconds frequent_digest_duration{10'000};

// Minimum interval between digests outside the regular period.
constexpr milliseconds extra_digest_period{500};

// Differing buckets per exchange in a large fleet; the others follow in later exchanges.
constexpr std::size_t max_reply_buckets = 16;

// Node names in one pull. Each takes up to 130 bytes.
constexpr std::size_t max_nodes_per_pull = 8;

// An update that is not urgent is dropped while this many entries are queued.
constexpr std::size_t max_queued_broadcasts = 256;

// Updates considered for one datagram; more than this never fit.
constexpr std::size_t max_candidate_updates = 48;

// Transmissions of an urgent update, as a multiple of the logarithm of the fleet size.
constexpr double transmission_factor = 3;

std::uint32_t bucket_index(const member_record& record)
{
    return static_cast<std::uint32_t>(stable_hash(record.node.get()) % bucket_count);
}

// Omits the sequence and sheet version, which change too often in a large fleet.
std::uint32_t digest_hash(const member_entry& member)
{
    const std::uint64_t seed = member.record.incarnation_number.get() * 31 +
                               member.content_sequence * 7 +
                               static_cast<std::uint64_t>(member.record.state);
    return static_cast<std::uint32_t>(stable_hash(member.record.node.get(), seed));
}

} // namespace

void gossip_state::queue_broadcast(member_entry& member, bool urgent, bool full)
{
    if (!urgent && !member.broadcast.queued &&
        broadcast_queue_.size() >= max_queued_broadcasts)
    {
        return;
    }
    member.broadcast.transmissions_left =
        std::max(member.broadcast.transmissions_left, transmission_count(urgent));
    member.broadcast.urgent = member.broadcast.urgent || urgent;
    member.broadcast.full = member.broadcast.full || full;
    if (!member.broadcast.queued)
    {
        member.broadcast.queued = true;
        broadcast_queue_.push_back(&member);
    }
}

std::uint32_t gossip_state::transmission_count(bool urgent) const
{
    const double rounds = std::ceil(std::log2(static_cast<double>(alive_count_ + 2)));
    return static_cast<std::uint32_t>(urgent ? transmission_factor * rounds : rounds);
}

datagram gossip_state::make_datagram(datagram_kind kind) const
{
    datagram result;
    result.kind = kind;
    result.sender = make_update(self_, false);
    return result;
}

member_update gossip_state::make_update(const member_entry& member, bool full) const
{
    return {member.record, member.content_sequence, member.status, full};
}

void gossip_state::send_datagram(const endpoint& to, const datagram& message)
{
    const auto more_urgent = [](const member_entry* a, const member_entry* b)
    {
        return a->broadcast.urgent != b->broadcast.urgent
                   ? a->broadcast.urgent
                   : a->broadcast.transmissions_left > b->broadcast.transmissions_left;
    };
    const std::size_t count = std::min(broadcast_queue_.size(), max_candidate_updates);
    std::partial_sort(broadcast_queue_.begin(),
                      broadcast_queue_.begin() + static_cast<std::ptrdiff_t>(count),
                      broadcast_queue_.end(), more_urgent);
    std::vector<nlohmann::json> updates;
    for (const member_update& update : message.updates)
    {
        updates.push_back(to_array(update));
    }
    const std::size_t required_count = updates.size();
    double cost_bytes = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        const member_entry& member = *broadcast_queue_[i];
        nlohmann::json encoded = to_array(make_update(member, member.broadcast.full));
        cost_bytes +=
            member.broadcast.urgent ? 0 : double(nlohmann::json::to_cbor(encoded).size());
        if (cost_bytes > piggyback_budget_bytes_)
        {
            break;
        }
        updates.push_back(std::move(encoded));
    }
    std::size_t encoded_count = 0;
    outgoing_.push_back({to, encode(message, updates, encoded_count)});
    piggyback_budget_bytes_ = std::max(0.0, piggyback_budget_bytes_ - cost_bytes);
    for (std::size_t i = required_count; i < encoded_count; ++i)
    {
        --broadcast_queue_[i - required_count]->broadcast.transmissions_left;
    }
    const auto reset_if_sent = [](member_entry* member)
    {
        if (member->broadcast.transmissions_left > 0)
        {
            return false;
        }
        member->broadcast = broadcast_state{};
        return true;
    };
    broadcast_queue_.erase(
        std::remove_if(broadcast_queue_.begin(), broadcast_queue_.end(), reset_if_sent),
        broadcast_queue_.end());
}

void gossip_state::send_records(const endpoint& to, const std::vector<node_id>& nodes,
                                bool full)
{
    std::vector<nlohmann::json> updates;
    for (const node_id& node : nodes)
    {
        const member_entry* member =
            node == self_.record.node ? &self_ : find_entry(node);
        if (member != nullptr)
        {
            updates.push_back(to_array(make_update(*member, full)));
        }
    }
    const datagram message = make_datagram(datagram_kind::push);
    for (std::size_t next = 0; next < updates.size();)
    {
        outgoing_.push_back({to, encode(message, updates, next)});
    }
}

void gossip_state::start_sync(const endpoint& to)
{
    for (const sync_job& job : sync_jobs_)
    {
        if (job.to == to)
        {
            return;
        }
    }
    if (sync_jobs_.size() >= max_queued_syncs)
    {
        std::vector<node_id> referred_nodes;
        for (const member_entry* member : random_alive_members(referral_count, nullptr))
        {
            referred_nodes.push_back(member->record.node);
        }
        send_records(to, referred_nodes, true);
        return;
    }
    sync_job job;
    job.to = to;
    job.nodes.push_back(self_.record.node);
    for (const member_entry* member : probe_order_)
    {
        if (member->status != liveness::dead)
        {
            job.nodes.push_back(member->record.node);
        }
    }
    sync_jobs_.push_back(std::move(job));
}

void gossip_state::advance_syncs()
{
    std::size_t sent = 0;
    while (!sync_jobs_.empty() && sent++ < max_sync_datagrams_per_tick)
    {
        sync_job& job = sync_jobs_.front();
        std::vector<nlohmann::json> updates;
        const std::size_t end =
            std::min(job.nodes.size(), job.next + max_candidate_updates);
        for (std::size_t i = job.next; i < end; ++i)
        {
            const node_id& node = job.nodes[i];
            const member_entry* member =
                node == self_.record.node ? &self_ : find_entry(node);
            // This node's record replaces a member removed since the sync started,
            // because each element of job.nodes must produce one update.
            updates.push_back(to_array(make_update(member ? *member : self_, true)));
        }
        std::size_t encoded_count = 0;
        datagram message = make_datagram(datagram_kind::sync);
        std::string bytes = encode(message, updates, encoded_count);
        job.next += encoded_count;
        const bool last = job.next == job.nodes.size();
        if (last)
        {
            message.nonce = 1;
            encoded_count = 0;
            bytes = encode(message, updates, encoded_count);
        }
        outgoing_.push_back({job.to, std::move(bytes)});
        if (last)
        {
            sync_jobs_.pop_front();
        }
    }
}

void gossip_state::handle_sync(const datagram& message)
{
    next_join_ = now_ + sync_stall_timeout;
    if (message.nonce == 1 && !table_received_)
    {
        table_received_ = true;
        frequent_digests_until_ = now_ + frequent_digest_duration;
        next_digest_ = now_ + first_digest_delay;
        queue_broadcast(self_, true, true);
    }
}

void gossip_state::send_digest(const endpoint& to)
{
    datagram message = make_datagram(datagram_kind::digest);
    message.digest_values = bucket_hashes();
    std::size_t encoded_count = 0;
    outgoing_.push_back({to, encode(message, {}, encoded_count)});
}

void gossip_state::send_digest_rate_limited(const endpoint& to)
{
    if (now_ >= next_extra_digest_)
    {
        next_extra_digest_ = now_ + extra_digest_period;
        send_digest(to);
    }
}

void gossip_state::handle_digest(const endpoint& from, const datagram& message)
{
    const std::vector<std::uint32_t> own = bucket_hashes();
    datagram reply = make_datagram(datagram_kind::digest_reply);
    for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (own[bucket] != message.digest_values[bucket])
        {
            reply.digest_values.push_back(bucket);
        }
    }
    if (reply.digest_values.empty())
    {
        return;
    }
    if (alive_count_ >= small_fleet_member_limit &&
        reply.digest_values.size() > max_reply_buckets)
    {
        std::shuffle(reply.digest_values.begin(), reply.digest_values.end(), random_);
        reply.digest_values.resize(max_reply_buckets);
    }
    std::size_t encoded_count = 0;
    outgoing_.push_back({from, encode(reply, {}, encoded_count)});
    send_records(from, nodes_in_buckets(reply.digest_values), false);
}

void gossip_state::handle_digest_reply(const endpoint& from, const datagram& message)
{
    send_records(from, nodes_in_buckets(message.digest_values), false);
}

std::vector<std::uint32_t> gossip_state::bucket_hashes() const
{
    std::vector<std::uint32_t> result(bucket_count, 0);
    result[bucket_index(self_.record)] += digest_hash(self_);
    for (const member_entry* member : probe_order_)
    {
        if (member->status != liveness::dead)
        {
            result[bucket_index(member->record)] += digest_hash(*member);
        }
    }
    return result;
}

std::vector<node_id>
gossip_state::nodes_in_buckets(const std::vector<std::uint32_t>& buckets) const
{
    std::vector<bool> selected(bucket_count, false);
    for (const std::uint32_t bucket : buckets)
    {
        selected[bucket] = true;
    }
    std::vector<node_id> result;
    if (selected[bucket_index(self_.record)])
    {
        result.push_back(self_.record.node);
    }
    for (const member_entry* member : probe_order_)
    {
        if (selected[bucket_index(member->record)])
        {
            result.push_back(member->record.node);
        }
    }
    return result;
}

void gossip_state::queue_pull(const endpoint& from, const node_id& node)
{
    pending_pulls_[from].insert(node);
}

void gossip_state::send_pulls()
{
    for (const auto& [to, nodes] : pending_pulls_)
    {
        datagram pull = make_datagram(datagram_kind::pull);
        for (const node_id& node : nodes)
        {
            pull.requested_nodes.push_back(node);
            if (pull.requested_nodes.size() == max_nodes_per_pull)
            {
                std::size_t encoded_count = 0;
                outgoing_.push_back({to, encode(pull, {}, encoded_count)});
                pull.requested_nodes.clear();
            }
        }
        if (!pull.requested_nodes.empty())
        {
            std::size_t encoded_count = 0;
            outgoing_.push_back({to, encode(pull, {}, encoded_count)});
        }
    }
    pending_pulls_.clear();
}

} // namespace fescueridge::detail
