#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueridge/membership/gossip_core.hpp"
#include "wire.hpp"

namespace fescueridge::detail
{

/// Progress in disseminating one record.
struct spread
{
    std::uint32_t left = 0; ///< Remaining transmissions.
    bool urgent = false;    ///< Sent in push datagrams as well as piggybacked.
    bool full = false;      ///< Sent as a full update.
    bool listed = false;    ///< The entry is in hot_.
};

/// A member of the table.
struct entry
{
    member_record record;
    std::uint64_t content = 1; ///< See update::content.
    liveness status = liveness::alive;
    time_point status_since;
    time_point last_heard;    ///< Last datagram from the member, or relayed ack of it.
    time_point last_reminder; ///< Last datagram that notified the member of its status.
    spread news;
};

/// A probe of this node that awaits its ack.
struct probe
{
    node_id target;
    std::uint64_t nonce = 0;
    time_point started;
    time_point next_direct;
    time_point next_indirect;
};

/// A probe that this node relays for another node.
struct relayed_probe
{
    endpoint asker;
    node_id target;
    std::uint64_t asker_nonce = 0;
    time_point expires;
};

/// Transmission of the whole table to a joining node.
struct sync_job
{
    endpoint to;
    std::vector<node_id> nodes;
    std::size_t next = 0;
};

/// Check whether a node with this node's id and a higher incarnation is alive.
struct contest
{
    incarnation number;
    endpoint address;
    std::uint64_t nonce = 0;
    time_point deadline;
    time_point next_probe;
};

/// With fewer live members than this, anti-entropy exchanges all differing buckets at
/// once.
constexpr std::size_t small_fleet = 500;

/// With fewer live members than this, changes of sheet versions are urgent updates.
/// Urgent updates for a sheet change every 6.6 s (13,000 a day) take 2.0 KB/s with 50
/// members, but 10.3 KB/s with 200, which exceeds the budget of 4 KB/s.
constexpr std::size_t max_pushed_sheets = 64;

/// Implementation of gossip_core.
class gossip_state
{
public:
    gossip_state(member_record self, std::vector<endpoint> contacts, random_engine random,
                 time_point now, gossip_options options);

    std::vector<outgoing_datagram> tick(time_point now);
    std::vector<outgoing_datagram> receive(time_point now, const endpoint& from,
                                           std::string_view bytes);
    void update_self(const std::function<void(member_record&)>& edit);
    void add_contacts(const std::vector<endpoint>& contacts);

    const member_record& self() const noexcept { return self_.record; }
    bool superseded() const noexcept { return superseded_; }
    std::vector<member_view> members() const;
    std::optional<member_view> find(const node_id& node) const;
    std::vector<member_change> take_changes();

private:
    // Failure detection (gossip_state.cpp).
    void skip_pause(time_point now);
    void start_probe();
    void advance_probes();
    bool advance_probe(probe& item);
    void send_ping(const entry& target, std::uint64_t nonce);
    void send_indirect(const entry& target, std::uint64_t nonce);
    void expire_suspects();
    void remind(entry& item);
    void probe_dead();
    void probe_contact();
    void send_join();
    void advance_contest();
    void push_news();
    entry* next_probe_target();
    entry* random_member(liveness status);
    std::vector<entry*> random_alive(std::size_t count, const entry* except);
    void forget_old();

    // Processing of datagrams and updates (merge.cpp).
    void handle(const endpoint& from, const datagram& message);
    void handle_own_id(const endpoint& from, const datagram& message);
    void note_sender(const endpoint& from, const datagram& message);
    void apply(const endpoint& from, const update& news);
    void apply_about_self(const endpoint& from, const update& news);
    void apply_to_known(const endpoint& from, entry& item, const update& news);
    void apply_claim(entry& item, const update& news);
    void apply_alive(entry& item, const update& news);
    void add_member(const update& news);
    void set_status(entry& item, liveness status, change_kind kind);
    void report(change_kind kind, const entry& item);
    void start_contest(const incarnation& number, const endpoint& address);
    void acknowledge(const endpoint& from, const datagram& message);
    void take_ack(const endpoint& from, const datagram& message, bool known);
    void relay(const endpoint& from, const datagram& message);
    entry* lookup(const node_id& node);

    // Dissemination and exchange of tables (exchange.cpp).
    void spread_news(entry& item, bool urgent, bool full);
    std::uint32_t transmissions(bool urgent) const;
    datagram make(datagram_kind kind) const;
    update make_update(const entry& item, bool full) const;
    void send(const endpoint& to, const datagram& message);
    void send_nodes(const endpoint& to, const std::vector<node_id>& nodes, bool full);
    void start_sync(const endpoint& to);
    void advance_syncs();
    void take_sync(const datagram& message);
    void start_digest(const endpoint& to);
    void start_digest_now_and_then(const endpoint& to);
    void answer_digest(const endpoint& from, const datagram& message);
    void answer_buckets(const endpoint& from, const datagram& message);
    std::vector<std::uint32_t> hash_table() const;
    std::vector<node_id> nodes_in(const std::vector<std::uint32_t>& buckets) const;
    void want(const endpoint& from, const node_id& node);
    void flush_wanted();

    gossip_options options_;
    random_engine random_;
    entry self_;
    std::vector<endpoint> contacts_;
    std::unordered_map<std::string, std::unique_ptr<entry>> table_;
    std::vector<entry*> order_; ///< Members in probe order; shuffled after each round.
    std::size_t next_in_order_ = 0;
    std::vector<entry*> hot_; ///< Entries with remaining transmissions.
    std::vector<probe> probes_;
    std::unordered_map<std::uint64_t, relayed_probe> relayed_;
    std::deque<sync_job> syncs_;
    std::map<endpoint, std::set<node_id>> wanted_; ///< Records to pull, by destination.
    std::optional<contest> contest_;
    std::vector<member_change> changes_;
    std::vector<outgoing_datagram> out_;
    std::size_t alive_ = 0;
    std::size_t dead_ = 0;
    bool superseded_ = false;
    bool synced_ = false;  ///< A whole table was received since the start.
    bool in_sync_ = false; ///< A sync datagram is being applied.
    double allowance_ = 0;
    time_point now_;
    time_point last_tick_;
    time_point next_probe_;
    time_point next_dead_probe_;
    time_point next_join_;
    time_point next_digest_;
    time_point next_extra_digest_;
    time_point young_until_; ///< End of frequent digests after joining.
    time_point next_push_;
    time_point next_forget_;
};

} // namespace fescueridge::detail
