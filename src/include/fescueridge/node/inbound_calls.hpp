#pragma once

#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace fescueridge
{

/// Unanswered calls by the link on which they arrived. They are cancelled when the link
/// closes, because their replies can no longer be delivered. Thread safe.
class inbound_calls
{
public:
    void add(const link_ptr& from, const call_id& id);
    void remove(const link_ptr& from, const call_id& id);

    /// Removes and returns all calls of a link.
    std::vector<call_id> take_all(const link_ptr& from);

private:
    std::mutex mutex_;
    std::unordered_map<const link*, std::unordered_set<call_id>> calls_;
};

} // namespace fescueridge
