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
constexpr std::size_t sync_burst = 10;

// Whole tables sent concurrently. Further joining nodes receive the records of some other
// members to join through, because one contact would need minutes to serve 1,000 nodes
// that start at once.
constexpr std::size_t max_syncs = 4;
constexpr std::size_t referrals = 8;

// Time after a sync datagram until the table is requested from another node.
constexpr milliseconds sync_patience{1000};

// Time from the end of a sync to a digest, which finds records lost in the sync.
constexpr milliseconds first_digest{1000};

// Duration of frequent digests after joining. The received table may be incomplete if its
// sender has itself just started.
constexpr milliseconds young_time{10'000};

// Minimum interval between digests outside the regular period.
constexpr milliseconds extra_digest_period{500};

// Differing buckets per exchange in a large fleet; the others follow in later exchanges.
constexpr std::size_t max_buckets = 16;

// Node names in one pull. Each takes up to 130 bytes.
constexpr std::size_t max_wanted = 8;

// An update that is not urgent is dropped while this many entries are queued.
constexpr std::size_t max_hot = 256;

// Updates considered for one datagram; more than this never fit.
constexpr std::size_t max_candidates = 48;

// Transmissions of an urgent update, as a multiple of the logarithm of the fleet size.
constexpr double transmission_factor = 3;

std::uint32_t bucket_of(const member_record& record)
{
    return static_cast<std::uint32_t>(stable_hash(record.node.get()) % bucket_count);
}

// Omits the sequence and sheet version, which change too often in a large fleet.
std::uint32_t hash_of(const entry& item)
{
    const std::uint64_t mix = item.record.number.get() * 31 + item.content * 7 +
                              static_cast<std::uint64_t>(item.record.state);
    return static_cast<std::uint32_t>(stable_hash(item.record.node.get(), mix));
}

} // namespace

void gossip_state::spread_news(entry& item, bool urgent, bool full)
{
    if (!urgent && !item.news.listed && hot_.size() >= max_hot)
    {
        return;
    }
    item.news.left = std::max(item.news.left, transmissions(urgent));
    item.news.urgent = item.news.urgent || urgent;
    item.news.full = item.news.full || full;
    if (!item.news.listed)
    {
        item.news.listed = true;
        hot_.push_back(&item);
    }
}

std::uint32_t gossip_state::transmissions(bool urgent) const
{
    const double rounds = std::ceil(std::log2(static_cast<double>(alive_ + 2)));
    return static_cast<std::uint32_t>(urgent ? transmission_factor * rounds : rounds);
}

datagram gossip_state::make(datagram_kind kind) const
{
    datagram result;
    result.kind = kind;
    result.sender = make_update(self_, false);
    return result;
}

update gossip_state::make_update(const entry& item, bool full) const
{
    return {item.record, item.content, item.status, full};
}

void gossip_state::send(const endpoint& to, const datagram& message)
{
    const auto more_urgent = [](const entry* a, const entry* b)
    {
        return a->news.urgent != b->news.urgent ? a->news.urgent
                                                : a->news.left > b->news.left;
    };
    const std::size_t count = std::min(hot_.size(), max_candidates);
    std::partial_sort(hot_.begin(), hot_.begin() + static_cast<std::ptrdiff_t>(count),
                      hot_.end(), more_urgent);
    std::vector<nlohmann::json> updates;
    for (const update& required : message.updates)
    {
        updates.push_back(to_array(required));
    }
    const std::size_t required = updates.size();
    double cost = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        const entry& item = *hot_[i];
        nlohmann::json news = to_array(make_update(item, item.news.full));
        cost += item.news.urgent ? 0 : double(nlohmann::json::to_cbor(news).size());
        if (cost > allowance_)
        {
            break;
        }
        updates.push_back(std::move(news));
    }
    std::size_t used = 0;
    out_.push_back({to, encode(message, updates, used)});
    allowance_ = std::max(0.0, allowance_ - cost);
    for (std::size_t i = required; i < used; ++i)
    {
        --hot_[i - required]->news.left;
    }
    const auto told = [](entry* item)
    {
        if (item->news.left > 0)
        {
            return false;
        }
        item->news = spread{};
        return true;
    };
    hot_.erase(std::remove_if(hot_.begin(), hot_.end(), told), hot_.end());
}

void gossip_state::send_nodes(const endpoint& to, const std::vector<node_id>& nodes,
                              bool full)
{
    std::vector<nlohmann::json> updates;
    for (const node_id& node : nodes)
    {
        const entry* item = node == self_.record.node ? &self_ : lookup(node);
        if (item != nullptr)
        {
            updates.push_back(to_array(make_update(*item, full)));
        }
    }
    const datagram message = make(datagram_kind::push);
    for (std::size_t next = 0; next < updates.size();)
    {
        out_.push_back({to, encode(message, updates, next)});
    }
}

void gossip_state::start_sync(const endpoint& to)
{
    for (const sync_job& job : syncs_)
    {
        if (job.to == to)
        {
            return;
        }
    }
    if (syncs_.size() >= max_syncs)
    {
        std::vector<node_id> others;
        for (const entry* item : random_alive(referrals, nullptr))
        {
            others.push_back(item->record.node);
        }
        send_nodes(to, others, true);
        return;
    }
    sync_job job;
    job.to = to;
    job.nodes.push_back(self_.record.node);
    for (const entry* item : order_)
    {
        if (item->status != liveness::dead)
        {
            job.nodes.push_back(item->record.node);
        }
    }
    syncs_.push_back(std::move(job));
}

void gossip_state::advance_syncs()
{
    std::size_t sent = 0;
    while (!syncs_.empty() && sent++ < sync_burst)
    {
        sync_job& job = syncs_.front();
        std::vector<nlohmann::json> updates;
        const std::size_t end = std::min(job.nodes.size(), job.next + max_candidates);
        for (std::size_t i = job.next; i < end; ++i)
        {
            const node_id& node = job.nodes[i];
            const entry* item = node == self_.record.node ? &self_ : lookup(node);
            // This node's record replaces a member removed since the sync started,
            // because each element of job.nodes must produce one update.
            updates.push_back(to_array(make_update(item ? *item : self_, true)));
        }
        std::size_t used = 0;
        datagram message = make(datagram_kind::sync);
        std::string part = encode(message, updates, used);
        job.next += used;
        const bool last = job.next == job.nodes.size();
        if (last)
        {
            message.nonce = 1;
            used = 0;
            part = encode(message, updates, used);
        }
        out_.push_back({job.to, std::move(part)});
        if (last)
        {
            syncs_.pop_front();
        }
    }
}

void gossip_state::take_sync(const datagram& message)
{
    next_join_ = now_ + sync_patience;
    if (message.nonce == 1 && !synced_)
    {
        synced_ = true;
        young_until_ = now_ + young_time;
        next_digest_ = now_ + first_digest;
        spread_news(self_, true, true);
    }
}

void gossip_state::start_digest(const endpoint& to)
{
    datagram message = make(datagram_kind::digest);
    message.numbers = hash_table();
    std::size_t used = 0;
    out_.push_back({to, encode(message, {}, used)});
}

void gossip_state::start_digest_now_and_then(const endpoint& to)
{
    if (now_ >= next_extra_digest_)
    {
        next_extra_digest_ = now_ + extra_digest_period;
        start_digest(to);
    }
}

void gossip_state::answer_digest(const endpoint& from, const datagram& message)
{
    const std::vector<std::uint32_t> own = hash_table();
    datagram reply = make(datagram_kind::digest_reply);
    for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (own[bucket] != message.numbers[bucket])
        {
            reply.numbers.push_back(bucket);
        }
    }
    if (reply.numbers.empty())
    {
        return;
    }
    if (alive_ >= small_fleet && reply.numbers.size() > max_buckets)
    {
        std::shuffle(reply.numbers.begin(), reply.numbers.end(), random_);
        reply.numbers.resize(max_buckets);
    }
    std::size_t used = 0;
    out_.push_back({from, encode(reply, {}, used)});
    send_nodes(from, nodes_in(reply.numbers), false);
}

void gossip_state::answer_buckets(const endpoint& from, const datagram& message)
{
    send_nodes(from, nodes_in(message.numbers), false);
}

std::vector<std::uint32_t> gossip_state::hash_table() const
{
    std::vector<std::uint32_t> result(bucket_count, 0);
    result[bucket_of(self_.record)] += hash_of(self_);
    for (const entry* item : order_)
    {
        if (item->status != liveness::dead)
        {
            result[bucket_of(item->record)] += hash_of(*item);
        }
    }
    return result;
}

std::vector<node_id>
gossip_state::nodes_in(const std::vector<std::uint32_t>& buckets) const
{
    std::vector<bool> selected(bucket_count, false);
    for (const std::uint32_t bucket : buckets)
    {
        selected[bucket] = true;
    }
    std::vector<node_id> result;
    if (selected[bucket_of(self_.record)])
    {
        result.push_back(self_.record.node);
    }
    for (const entry* item : order_)
    {
        if (selected[bucket_of(item->record)])
        {
            result.push_back(item->record.node);
        }
    }
    return result;
}

void gossip_state::want(const endpoint& from, const node_id& node)
{
    wanted_[from].insert(node);
}

void gossip_state::flush_wanted()
{
    for (const auto& [to, nodes] : wanted_)
    {
        datagram pull = make(datagram_kind::pull);
        for (const node_id& node : nodes)
        {
            pull.wanted.push_back(node);
            if (pull.wanted.size() == max_wanted)
            {
                std::size_t used = 0;
                out_.push_back({to, encode(pull, {}, used)});
                pull.wanted.clear();
            }
        }
        if (!pull.wanted.empty())
        {
            std::size_t used = 0;
            out_.push_back({to, encode(pull, {}, used)});
        }
    }
    wanted_.clear();
}

} // namespace fescueridge::detail
