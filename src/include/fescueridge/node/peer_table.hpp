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

/// The other nodes as this node sees them: their records, the balancer of each service,
/// and the links to them. Thread safe.
class peer_table
{
public:
    /// Gets the link, or null when there is none and none could be opened.
    using link_callback = std::function<void(link_ptr)>;

    peer_table(node_id self, domain_name domain);

    /// Sets the hub that opens links; to be called before any other function.
    void use(link_hub& hub) noexcept { hub_ = &hub; }

    /// Takes over the members that gossip knows, and this node's own record.
    void update(const member_record& self, const std::vector<member_view>& members);

    /// Takes over changes that concern nothing but the sheet versions of known members,
    /// in place: at the design size this is the most frequent change by far, and
    /// rebuilding all balancers took 3 ms for 6,900 members. Returns false when there is
    /// any other change; then update() must follow.
    bool update_sheet_versions(const std::vector<member_change>& changes);

    /// Returns the balancer of a service, or null when no node has a server of it.
    std::shared_ptr<backend_server_balancer> balancer(const service_name& service) const;

    /// Passes the open link to a node to `done`, at once if there is one, otherwise after
    /// it was dialled.
    void with_link(const node_id& node, link_callback done);

    /// Records that a link to a node was opened.
    void on_link_open(const node_id& node);

    /// Records that a link to a node is lost; no call is routed to the node until it is
    /// open again.
    void on_link_closed(const node_id& node);

    /// Dials the nodes whose link was lost; to be called periodically.
    void redial();

    /// Returns the live nodes of a failure domain, this node included.
    std::vector<node_id> live_nodes(const domain_name& domain) const;

    /// Returns the live nodes that have a server of a service, without this node.
    std::vector<node_id> live_nodes_of(const service_name& service) const;

    /// Returns the failure domains that any member is in.
    std::vector<domain_name> domains() const;

    /// Returns the live node with the highest sheet version above `known`, if any.
    std::optional<node_id> holder_of_newer_sheet(sheet_version known) const;

    /// Returns one of the live nodes with the highest sheet version above `known`, if
    /// any: one in the own failure domain if there is one, else any, chosen at random.
    std::optional<node_id> choose_sheet_holder(sheet_version known,
                                               random_engine& random) const;

    /// Returns true if a live member other than this node is in the own failure domain.
    bool has_live_neighbour() const;

    /// Returns all members, this node first.
    std::vector<member_view> members() const;

private:
    /// Where a node is reached, and which incarnation of it.
    struct link_target
    {
        endpoint link;
        incarnation number;
    };

    void rebuild_balancers();
    bool is_link_up(const member_view& member) const;

    const node_id self_;
    const domain_name domain_;
    link_hub* hub_ = nullptr;
    mutable std::shared_mutex mutex_;
    std::vector<member_view> members_;
    std::unordered_map<node_id, link_target> targets_;
    std::unordered_map<node_id, std::size_t> places_; // in members_
    std::unordered_map<service_name, std::shared_ptr<backend_server_balancer>> balancers_;
    std::unordered_set<node_id> lost_links_;
};

} // namespace fescueridge
