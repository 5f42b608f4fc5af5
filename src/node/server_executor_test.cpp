#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include "fescueridge/node/call_context.hpp"
#include "fescueridge/node/server_executor.hpp"

using namespace fescueridge;

namespace
{

constexpr auto sheet_text =
    "kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note\n"
    "rule,*,till,5,,,,,\n";

/// An executor whose backend server accepts connections and never answers.
struct executor_fixture
{
    executor_fixture()
    {
        sheets.adopt(sheet_version(1), log_offset(1), sheet_text);
        events.echo(false);
        server_announcement server;
        server.service = service_name("till");
        server.address = {"127.0.0.1", silent_server.local_endpoint().port()};
        server.slots = slot_count(4);
        server.connections = connection_count(4);
        server.incarnation_number = incarnation(1);
        executor.announce(server);
        thread = std::thread([this] { io.run(); });
    }

    ~executor_fixture()
    {
        io.stop();
        thread.join();
    }

    static call_message call()
    {
        call_message message;
        message.id = call_id("c1");
        message.root = root_id("r1");
        message.caller = caller_name("tablet");
        message.service = service_name("till");
        message.rank = priority(5);
        message.time_left = milliseconds(20'000);
        message.method = "GET";
        message.path = "/";
        return message;
    }

    /// Runs a step on the io thread, like the handlers of links and timers.
    void run(const std::function<void()>& step) { asio::post(io, step); }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(io);
    asio::ip::tcp::acceptor silent_server{
        io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    sheet_holder sheets;
    refusal_maker refusals{node_id("n1"), domain_name("a"), sheets};
    call_table calls;
    quarantine_table suspicions;
    event_log events{node_id("n1"), incarnation(1)};
    server_executor executor{executor_dependencies{
        io, sheets, refusals, calls, suspicions, events, [](const auto& /*records*/) {},
        [] {
        }}};
    std::thread thread;
};

} // namespace

// On an io thread, cancel() ends a running call before it returns, and ending the call
// locks the executor's mutex. If cancel() held the mutex, the node would deadlock.
Test(server_executor, cancel_of_a_running_call_on_an_io_thread_returns, .timeout = 20)
{
    executor_fixture fixture;
    std::promise<outcome> ended;
    fixture.run(
        [&]
        {
            fixture.executor.execute(executor_fixture::call(), [&](reply_message reply)
                                     { ended.set_value(reply.result); });
        });
    // Time to open the connection and write the request.
    std::this_thread::sleep_for(milliseconds(300));
    cr_assert_eq(fixture.executor.in_flight(), 1);
    fixture.run([&] { fixture.executor.cancel(call_id("c1")); });
    auto result = ended.get_future();
    cr_assert(result.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    cr_expect(result.get() != outcome::ok);
    cr_expect_eq(fixture.executor.in_flight(), 0);
}

// Guards against calls that wait when a node ends and are left without an answer, or with
// one that does not tell that they have not run.
Test(server_executor, refuses_waiting_calls_as_not_run, .timeout = 20)
{
    constexpr int more_than_the_slots = 6;
    executor_fixture fixture;
    std::mutex mutex;
    std::vector<outcome> ended;
    fixture.run(
        [&]
        {
            for (int number = 0; number < more_than_the_slots; ++number)
            {
                auto call = executor_fixture::call();
                call.id = call_id("c" + std::to_string(number));
                fixture.executor.execute(call,
                                         [&](const reply_message& reply)
                                         {
                                             const std::lock_guard lock(mutex);
                                             ended.push_back(reply.result);
                                         });
            }
            fixture.executor.refuse_waiting();
        });
    std::this_thread::sleep_for(milliseconds(300));
    const std::lock_guard lock(mutex);
    cr_assert(!ended.empty());
    cr_expect(std::all_of(ended.begin(), ended.end(),
                          [](outcome result) { return result == outcome::not_run; }));
    cr_expect_eq(fixture.executor.in_flight() + ended.size(), more_than_the_slots);
    cr_expect_eq(fixture.executor.load().queued, 0U);
}
