#pragma once

#include <cstddef>
#include <vector>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Nodes of a failure domain that follow the stream `config`; see section 6.1 of the
/// design.
constexpr std::size_t sheet_readers_per_domain = 3;

/// Nodes that a node passes a difference on to: 1,380 nodes of a failure domain are
/// reached in 3 levels.
constexpr std::size_t sheet_tree_fan_out = 12;

/// Returns the nodes of a failure domain that follow the stream `config`.
std::vector<node_id> sheet_readers(const std::vector<node_id>& live);

/// Returns the nodes that `self` passes differences on to. The readers are the roots of
/// the tree; with one list of live nodes, every other node has exactly one parent.
std::vector<node_id> sheet_children(const node_id& self,
                                    const std::vector<node_id>& live);

} // namespace fescueridge
