#pragma once

#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace fescueridge
{

/// Calls that arrived over links and are not answered yet, so that they can be cancelled
/// when their link closes: nobody waits for them any more. Thread safe.
class inbound_calls
{
public:
    void add(const link_ptr& from, const call_id& id);
    void remove(const link_ptr& from, const call_id& id);

    /// Removes and returns the calls that arrived over a link.
    std::vector<call_id> take(const link_ptr& from);

private:
    std::mutex mutex_;
    std::unordered_map<const link*, std::unordered_set<call_id>> calls_;
};

} // namespace fescueridge
