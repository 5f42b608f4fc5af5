#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>

#include "announcer.hpp"
#include "execution_log.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/transport/http_client_pool.hpp"
#include "fescueridge/transport/http_server.hpp"
#include "options.hpp"

namespace fescueridge::standin
{

/// Stand-in for a backend server without overload control: runs as many requests as it
/// has slots and queues the others, first in, first out, without a bound. Used from one
/// thread.
class backend_server
{
public:
    backend_server(asio::io_context& io, const options& settings);

    /// Returns the address listened on.
    endpoint bound() const { return server_.bound(); }

    /// Announces the state `draining`, finishes all requests and then calls `done`.
    void drain(std::function<void()> done);

private:
    /// One request from its arrival to its answer.
    struct execution
    {
        execution(asio::io_context& io, http_request received,
                  std::shared_ptr<http_exchange> reply_to)
            : request(std::move(received)), exchange(std::move(reply_to)), timer(io),
              arrived(clock::now())
        {
        }

        std::uint64_t number = 0;
        http_request request;
        std::shared_ptr<http_exchange> exchange;
        asio::steady_timer timer;
        time_point arrived;
        std::size_t next_downstream = 0;
        http_call_handle downstream;
        bool running = false;
        bool ended = false;
    };
    using execution_ptr = std::shared_ptr<execution>;

    struct counters
    {
        std::uint64_t executions = 0;
        std::uint64_t finished = 0;
        std::uint64_t failed = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t dropped_from_queue = 0;
    };

    void on_request(http_request request, std::shared_ptr<http_exchange> exchange);
    void control(const http_request& request, http_exchange& exchange);
    void change_settings(const std::string& body, http_exchange& exchange);
    std::string stats() const;
    std::string announcement() const;
    bool is_cold() const;
    milliseconds time_left(const execution& work) const;
    std::chrono::microseconds service_time();

    void start_waiting();
    void start(const execution_ptr& work);
    void call_downstream(const execution_ptr& work);
    void on_downstream(const execution_ptr& work, const http_result& result);
    void answer(const execution_ptr& work);
    void end(const execution_ptr& work, http_response response);
    void cancel(const execution_ptr& work);
    void release(const execution_ptr& work);
    void wait_until_quiet();

    asio::io_context& io_;
    options settings_;
    execution_log log_;
    random_engine random_;
    std::uint64_t incarnation_;
    time_point started_;
    time_point last_activity_;
    double fail_percent_ = 0;
    counters counters_;
    std::size_t running_ = 0;
    std::deque<execution_ptr> queue_;
    http_server server_;
    std::optional<http_client_pool> node_;
    std::optional<announcer> announcer_;
    asio::steady_timer drain_timer_;
    std::function<void()> drained_;
    bool draining_ = false;
};

} // namespace fescueridge::standin
