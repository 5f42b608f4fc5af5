#pragma once

#include <future>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/error.hpp"
#include "fescueridge/sheet/operator_api.hpp"

namespace fescueridge
{

/// No operator port answered, or what answered is not an operator port.
class unreachable_error : public error
{
public:
    using error::error;
};

/// Asks one operator port. Every request ends at the deadline at the latest.
class operator_client
{
public:
    operator_client(endpoint address, time_point deadline);

    const endpoint& address() const noexcept { return address_; }

    /// Returns the body of the answer. Throws unreachable_error without an answer or with
    /// an error status.
    std::string get(const std::string& path) const;

    /// Returns the body of the answer, whatever its status; a refused sheet has a body
    /// too. Throws unreachable_error without an answer.
    std::string post(const std::string& path, const std::string& body) const;

    /// Returns the answer to a GET request. Throws unreachable_error.
    template <class View>
    View view(const std::string& path) const
    {
        return read_body<View>(get(path));
    }

    /// Returns the answer to a POST request. Throws unreachable_error.
    template <class View>
    View post_view(const std::string& path, const std::string& body) const
    {
        return read_body<View>(post(path, body));
    }

private:
    template <class View>
    View read_body(const std::string& text) const
    {
        try
        {
            return parse_body<View>(text);
        }
        catch (const codec_error& problem)
        {
            throw unreachable_error(
                to_string(address_) +
                " does not answer as an operator port: " + problem.what());
        }
    }

    endpoint address_;
    time_point deadline_;
};

/// Calls `ask(client)` for one address after the other and returns the first result that
/// does not throw unreachable_error. Throws unreachable_error with every cause when none
/// answers.
template <class Ask>
auto ask_first(const std::vector<endpoint>& addresses, time_point deadline, Ask ask)
    -> decltype(ask(std::declval<const operator_client&>()))
{
    std::string causes;
    for (const endpoint& address : addresses)
    {
        try
        {
            return ask(operator_client(address, deadline));
        }
        catch (const unreachable_error& problem)
        {
            causes += (causes.empty() ? "" : "; ") + std::string(problem.what());
        }
    }
    throw unreachable_error(causes);
}

/// What one of several operator ports said: an answer or the error.
template <class Answer>
struct answer_of
{
    endpoint address;
    std::optional<Answer> answer;
    std::string error;
};

/// Calls `ask(client)` for each address, all at the same time, so that paused nodes do
/// not add up. Throws unreachable_error when none answers.
template <class Ask>
auto ask_all(const std::vector<endpoint>& addresses, time_point deadline, Ask ask)
    -> std::vector<answer_of<decltype(ask(std::declval<const operator_client&>()))>>
{
    using answer = decltype(ask(std::declval<const operator_client&>()));
    std::vector<std::future<answer>> running;
    running.reserve(addresses.size());
    for (const endpoint& address : addresses)
    {
        running.push_back(
            std::async(std::launch::async, [&ask, address, deadline]
                       { return ask(operator_client(address, deadline)); }));
    }
    std::vector<answer_of<answer>> result;
    bool answered = false;
    std::string causes;
    for (std::size_t i = 0; i < addresses.size(); ++i)
    {
        result.push_back({addresses[i], std::nullopt, ""});
        try
        {
            result.back().answer = running[i].get();
            answered = true;
        }
        catch (const unreachable_error& problem)
        {
            result.back().error = problem.what();
            causes += (causes.empty() ? "" : "; ") + result.back().error;
        }
    }
    if (!answered)
    {
        throw unreachable_error(causes);
    }
    return result;
}

} // namespace fescueridge
