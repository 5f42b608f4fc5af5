#include "operator_client.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <httplib.h>

namespace fescueridge
{

namespace
{

// A paused node must not use up the time for the nodes after it.
constexpr milliseconds max_connect_time{1000};
constexpr milliseconds max_read_time{2000};

milliseconds time_left(time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now());
    return std::max(left, milliseconds(1));
}

httplib::Client open_client(const endpoint& address, milliseconds read_time)
{
    httplib::Client client(address.address, address.port);
    client.set_connection_timeout(std::min(read_time, max_connect_time));
    client.set_read_timeout(read_time);
    client.set_write_timeout(read_time);
    return client;
}

[[noreturn]] void fail(const endpoint& address, const httplib::Result& result)
{
    throw unreachable_error(fmt::format("{} does not answer: {}", to_string(address),
                                        httplib::to_string(result.error())));
}

} // namespace

operator_client::operator_client(endpoint address, time_point deadline)
    : address_(std::move(address)), deadline_(deadline)
{
}

std::string operator_client::get(const std::string& path) const
{
    auto client = open_client(address_, std::min(time_left(deadline_), max_read_time));
    const auto result = client.Get(path);
    if (!result)
    {
        fail(address_, result);
    }
    if (result->status != 200)
    {
        throw unreachable_error(fmt::format("{} answers {} with status {}",
                                            to_string(address_), path, result->status));
    }
    return result->body;
}

std::string operator_client::post(const std::string& path, const std::string& body) const
{
    auto client = open_client(address_, time_left(deadline_));
    const auto result = client.Post(path, body, "application/json");
    if (!result)
    {
        fail(address_, result);
    }
    return result->body;
}

} // namespace fescueridge
