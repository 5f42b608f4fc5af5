#pragma once

#include <chrono>
#include <criterion/criterion.h>
#include <future>
#include <memory>
#include <string>
#include <variant>

#include "fescueridge/state/claim_client.hpp"

namespace fescueridge::test
{

/// Claims a key and returns the decision. Fails the test if none is made within 5 s.
inline claim_result claim(claim_client& client, const std::string& key,
                          const std::string& call,
                          milliseconds time_left = milliseconds(2'000))
{
    auto promise = std::make_shared<std::promise<claim_result>>();
    client.acquire(idempotency_key(key), call_id(call), time_left,
                   [promise](const claim_result& result) { promise->set_value(result); });
    auto future = promise->get_future();
    cr_assert(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    return future.get();
}

/// Returns whether a decision is of type `Result`.
template <class Result>
bool is(const claim_result& result)
{
    return std::holds_alternative<Result>(result);
}

} // namespace fescueridge::test
