#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/membership/member_record.hpp"
#include "fescueridge/routing/balancer.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace fescueridge
{

/// The members of the fleet: their records, the load balancer of each service, and the
/// links to the other nodes. Thread safe.
class peer_table
{
public:
    /// Receives the link, or null if no link is open and none could be opened.
    using link_callback = std::function<void(link_ptr)>;

    peer_table(node_id self, domain_name domain);

    /// Sets the hub that opens links. Must be called before the functions that use links.
    void set_link_hub(link_hub& hub) noexcept { hub_ = &hub; }

    /// Replaces all members with this node's own record and the members from gossip.
    void update(const member_record& self, const std::vector<member_view>& members);

    /// Updates the sheet versions of known members in place. Returns false if there is
    /// any other change; the caller must then call update(). At the design size sheet
    /// versions are by far the most frequent change, and rebuilding all balancers took 3
    /// ms for 6,900 members.
    bool update_sheet_versions(const std::vector<member_change>& changes);

    /// Returns the balancer of a service, or null if no node has had a server of it.
    std::shared_ptr<backend_server_balancer> balancer(const service_name& service) const;

    /// Passes the link to a node to `done`. If none is open, dials the node first.
    void with_link(const node_id& node, link_callback done);

    /// Records that a link to a node was opened.
    void on_link_open(const node_id& node);

    /// Records that the link to a node was lost. No call is routed to the node until a
    /// link is open again.
    void on_link_closed(const node_id& node);

    /// Dials the nodes whose link was lost. Must be called periodically.
    void redial_lost_links();

    /// Returns the live nodes of a failure domain, this node included.
    std::vector<node_id> live_nodes(const domain_name& domain) const;

    /// Returns the live nodes that have a server of a service, excluding this node.
    std::vector<node_id> live_nodes_of(const service_name& service) const;

    /// Returns the failure domains of all members.
    std::vector<domain_name> domains() const;

    /// Returns a live node with the highest sheet version above `known_version`, if any.
    std::optional<node_id> node_with_newest_sheet(sheet_version known_version) const;

    /// Returns a random live node among those with the highest sheet version above
    /// `known_version`, if any. Nodes in the own failure domain are preferred.
    std::optional<node_id> choose_node_with_newest_sheet(sheet_version known_version,
                                                         random_engine& random) const;

    /// Returns true if another live node is in the own failure domain.
    bool has_live_peer_in_domain() const;

    /// Returns all members, this node first.
    std::vector<member_view> members() const;

private:
    /// The link address of a node, and the incarnation that has it.
    struct link_target
    {
        endpoint link;
        incarnation incarnation_number;
    };

    void rebuild_balancers();
    bool is_link_up(const member_view& member) const;

    const node_id self_;
    const domain_name domain_;
    link_hub* hub_ = nullptr;
    mutable std::shared_mutex mutex_;
    std::vector<member_view> members_;
    std::unordered_map<node_id, link_target> link_targets_;
    std::unordered_map<node_id, std::size_t> member_indexes_; // index into members_
    std::unordered_map<service_name, std::shared_ptr<backend_server_balancer>> balancers_;
    std::unordered_set<node_id> lost_links_;
};

} // namespace fescueridge
