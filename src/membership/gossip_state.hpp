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
struct broadcast_state
{
    std::uint32_t transmissions_left = 0;
    bool urgent = false; ///< Sent in push datagrams as well as piggybacked.
    bool full = false;   ///< Sent as a full update.
    bool queued = false; ///< The entry is in broadcast_queue_.
};

/// A member of the table.
struct member_entry
{
    member_record record;
    std::uint64_t content_sequence = 1; ///< See member_update::content_sequence.
    liveness status = liveness::alive;
    time_point status_since;
    time_point last_seen; ///< Last datagram from the member, or ack relayed for it.
    time_point last_refutation_request;
    broadcast_state broadcast;
};

/// A probe of this node that awaits its ack.
struct probe
{
    node_id target;
    std::uint64_t nonce = 0;
    time_point started;
    time_point next_ping;
    time_point next_ping_request;
};

/// A probe that this node relays for another node.
struct relayed_probe
{
    endpoint requester;
    node_id target;
    std::uint64_t requester_nonce = 0;
    time_point expires;
};

/// Transmission of the whole table to a joining node.
struct sync_job
{
    endpoint to;
    std::vector<node_id> nodes;
    std::size_t next = 0;
};

/// Pending check whether a node with this node's id and a higher incarnation is alive.
struct id_conflict
{
    incarnation incarnation_number;
    endpoint address;
    std::uint64_t nonce = 0;
    time_point deadline;
    time_point next_probe;
};

/// With fewer live members than this, anti-entropy exchanges all differing buckets at
/// once.
constexpr std::size_t small_fleet_member_limit = 500;

/// With fewer live members than this, changes of sheet versions are urgent updates.
/// Urgent updates for a sheet change every 6.6 s (13,000 a day) take 2.0 KB/s with 50
/// members, but 10.3 KB/s with 200, which exceeds the budget of 4 KB/s.
constexpr std::size_t sheet_push_member_limit = 64;

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
    void reset_after_pause(time_point now);
    void start_probe();
    void advance_probes();
    bool advance_probe(probe& pending);
    void send_ping(const member_entry& target, std::uint64_t nonce);
    void send_ping_requests(const member_entry& target, std::uint64_t nonce);
    void expire_suspects();
    void request_refutation(member_entry& member);
    void probe_dead_member();
    void probe_contact();
    void send_join();
    void resolve_id_conflict();
    void push_urgent_updates();
    member_entry* next_probe_target();
    member_entry* random_member(liveness status);
    std::vector<member_entry*> random_alive_members(std::size_t count,
                                                    const member_entry* except);
    void forget_dead_members();

    // Processing of datagrams and updates (merge.cpp).
    void handle_datagram(const endpoint& from, const datagram& message);
    void handle_datagram_with_own_id(const endpoint& from, const datagram& message);
    void process_sender(const endpoint& from, const datagram& message);
    void apply_update(const endpoint& from, const member_update& update);
    void apply_update_about_self(const endpoint& from, const member_update& update);
    void apply_update_to_known_member(const endpoint& from, member_entry& member,
                                      const member_update& update);
    void apply_suspect_or_dead(member_entry& member, const member_update& update);
    void apply_alive(member_entry& member, const member_update& update);
    void add_or_replace_member(const member_update& update);
    void set_status(member_entry& member, liveness status, change_kind kind);
    void record_change(change_kind kind, const member_entry& member);
    void open_id_conflict(const incarnation& incarnation_number, const endpoint& address);
    void send_ack(const endpoint& from, const datagram& message);
    void handle_ack(const endpoint& from, const datagram& message, bool known);
    void relay_ping(const endpoint& from, const datagram& message);
    member_entry* find_entry(const node_id& node);

    // Dissemination and exchange of tables (exchange.cpp).
    void queue_broadcast(member_entry& member, bool urgent, bool full);
    std::uint32_t transmission_count(bool urgent) const;
    datagram make_datagram(datagram_kind kind) const;
    member_update make_update(const member_entry& member, bool full) const;
    void send_datagram(const endpoint& to, const datagram& message);
    void send_records(const endpoint& to, const std::vector<node_id>& nodes, bool full);
    void start_sync(const endpoint& to);
    void advance_syncs();
    void handle_sync(const datagram& message);
    void send_digest(const endpoint& to);
    void send_digest_rate_limited(const endpoint& to);
    void handle_digest(const endpoint& from, const datagram& message);
    void handle_digest_reply(const endpoint& from, const datagram& message);
    std::vector<std::uint32_t> bucket_hashes() const;
    std::vector<node_id>
    nodes_in_buckets(const std::vector<std::uint32_t>& buckets) const;
    void queue_pull(const endpoint& from, const node_id& node);
    void send_pulls();

    gossip_options options_;
    random_engine random_;
    member_entry self_;
    std::vector<endpoint> contacts_;
    std::unordered_map<std::string, std::unique_ptr<member_entry>> table_;
    std::vector<member_entry*> probe_order_; ///< Shuffled after each round.
    std::size_t next_probe_index_ = 0;
    std::vector<member_entry*> broadcast_queue_; ///< Members with transmissions left.
    std::vector<probe> probes_;
    std::unordered_map<std::uint64_t, relayed_probe> relayed_probes_;
    std::deque<sync_job> sync_jobs_;
    std::map<endpoint, std::set<node_id>> pending_pulls_; ///< By destination.
    std::optional<id_conflict> id_conflict_;
    std::vector<member_change> changes_;
    std::vector<outgoing_datagram> outgoing_;
    std::size_t alive_count_ = 0;
    std::size_t dead_count_ = 0;
    bool superseded_ = false;
    bool table_received_ = false; ///< A whole table was received since the start.
    bool applying_sync_ = false;  ///< A sync datagram is being applied.
    double piggyback_budget_bytes_ = 0;
    time_point now_;
    time_point last_tick_;
    time_point next_probe_;
    time_point next_dead_probe_;
    time_point next_join_;
    time_point next_digest_;
    time_point next_extra_digest_;
    time_point frequent_digests_until_; ///< End of frequent digests after joining.
    time_point next_push_;
    time_point next_forget_;
};

} // namespace fescueridge::detail
