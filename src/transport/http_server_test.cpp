#include <criterion/criterion.h>

#include <atomic>
#include <mutex>

#include "fescueridge/base/error.hpp"
#include "fescueridge/transport/http_server.hpp"
#include "test_support.hpp"

using namespace fescueridge;
using test::eventually;
using test::io_threads;
using test::raw_peer;

namespace
{

const endpoint any_port{"127.0.0.1", 0};

void echo(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    exchange->respond({200, {{"X-Target", request.target}}, request.body});
}

struct fault_counter
{
    std::atomic<int> count{0};
    std::atomic<http_fault_kind> last{http_fault_kind::cut};

    http_server_options options(std::size_t max_body = max_body_bytes)
    {
        http_server_options result;
        result.limits.body = max_body;
        result.on_fault = [this](const http_fault& fault)
        {
            last = fault.kind;
            ++count;
        };
        return result;
    }
};

void expect_refusal(const std::string& input, const std::string& status,
                    http_fault_kind kind)
{
    fault_counter faults;
    io_threads threads;
    http_server server(threads.io, any_port, echo, faults.options(100));
    raw_peer peer(server.bound());
    peer.try_send(input);
    const auto answer = peer.read_all();
    cr_expect_neq(answer.find("HTTP/1.1 " + status), std::string::npos, "got: %s",
                  answer.c_str());
    cr_expect(eventually([&] { return faults.count == 1; }));
    cr_expect(faults.last == kind);
    raw_peer next(server.bound());
    next.send("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_expect_neq(next.read_all().find("200 OK"), std::string::npos);
}

} // namespace

// Guards against input that is not HTTP being passed on or stopping the server.
Test(http_server, answers_400_to_malformed_input)
{
    expect_refusal("\x01\x02garbage\r\n\r\n", "400", http_fault_kind::malformed);
    expect_refusal("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400",
                   http_fault_kind::malformed);
}

// Guards against request smuggling by two statements of the length.
Test(http_server, refuses_two_statements_of_the_length)
{
    expect_refusal("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n0\r\n\r\n",
                   "400", http_fault_kind::malformed);
}

// Guards against fields that the next hop reads in another way, and against requests that
// are smuggled behind a second framing.
Test(http_server, refuses_ambiguous_heads, .timeout = 20)
{
    const std::vector<std::string> heads = {
        "Caller-Service : x",
        "Content-Length : 3",
        "Content-Length\t: 3",
        "Transfer-Encoding : chunked",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3, 3",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Transfer-Encoding: gzip, chunked, identity",
        "Transfer-Encoding: xchunked",
    };
    for (const auto& head : heads)
        expect_refusal("POST / HTTP/1.1\r\n" + head + "\r\n\r\n0\r\n\r\n", "400",
                       http_fault_kind::malformed);
}

// Guards against a body over the limit being read, with and without a stated length.
Test(http_server, answers_413_to_a_body_over_the_limit)
{
    expect_refusal("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "413",
                   http_fault_kind::body_too_large);
    expect_refusal("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" +
                       std::string(255, 'x') + "\r\n0\r\n\r\n",
                   "413", http_fault_kind::body_too_large);
}

// Guards against an endless header block filling the memory.
Test(http_server, answers_431_to_a_header_block_over_the_limit)
{
    expect_refusal("GET / HTTP/1.1\r\nA: " + std::string(70'000, 'a') + "\r\n\r\n", "431",
                   http_fault_kind::header_too_large);
}

// Guards against limits that are read from a configuration and never applied, and against
// limits that count the requests of a connection together.
Test(http_server, applies_limits_to_requests_that_begin_later)
{
    constexpr std::size_t header = 200;
    constexpr std::size_t body = 50;
    io_threads threads;
    http_server server(threads.io, any_port, echo);
    const auto answer_to = [&](const std::string& input)
    {
        raw_peer peer(server.bound());
        peer.try_send(input);
        return peer.read_all();
    };
    const auto post = [](std::size_t field, std::size_t size)
    {
        return "POST /x HTTP/1.1\r\nA: " + std::string(field, 'a') +
               "\r\nContent-Length: " + std::to_string(size) + "\r\n";
    };
    const std::string last = "Connection: close\r\n\r\n";
    const auto large = post(2 * header, 2 * body) + last + std::string(2 * body, 'x');
    cr_expect_neq(answer_to(large).find("200 OK"), std::string::npos);
    server.set_limits({header, body});
    cr_expect_neq(answer_to(post(2 * header, 0) + last).find(" 431 "), std::string::npos);
    cr_expect_neq(answer_to(post(1, 2 * body) + last).find(" 413 "), std::string::npos);
    const std::string whole(body, 'x');
    const auto twice = post(header / 2, body) + "\r\n" + whole;
    const auto answers = answer_to(twice + post(header / 2, body) + last + whole);
    cr_expect_eq(answers.find(" 431 "), std::string::npos, "got: %s", answers.c_str());
    cr_expect_neq(answers.find("200 OK", answers.find("200 OK") + 1), std::string::npos);
}

// Guards against requests of one connection being mixed or answered out of order.
Test(http_server, answers_requests_of_a_connection_in_order)
{
    std::mutex mutex;
    std::vector<std::shared_ptr<http_exchange>> held;
    std::vector<std::string> targets;
    io_threads threads;
    http_server server(threads.io, any_port,
                       [&](const http_request& request, const auto& exchange)
                       {
                           const std::lock_guard lock(mutex);
                           targets.push_back(request.target);
                           held.push_back(exchange);
                       });
    const auto count = [&]
    {
        const std::lock_guard lock(mutex);
        return held.size();
    };
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert(eventually([&] { return count() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    cr_expect_eq(count(), 1U);
    held[0]->respond({200, {}, "first"});
    cr_assert(eventually([&] { return count() == 2; }));
    held[1]->respond({200, {}, "second"});
    const auto all = peer.read_all();
    cr_expect_lt(all.find("first"), all.find("second"));
    cr_expect_neq(all.find("second"), std::string::npos);
    held.clear();
}

// Guards against work going on for a caller that has gone (cancellation).
Test(http_server, reports_a_peer_that_closes_before_the_answer)
{
    std::atomic<int> closed{0};
    std::shared_ptr<http_exchange> held;
    io_threads threads;
    http_server server(threads.io, any_port,
                       [&](const http_request&, const auto& exchange)
                       {
                           held = exchange;
                           exchange->on_closed([&] { ++closed; });
                       });
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\n\r\n");
    cr_assert(eventually([&] { return server.open_exchanges() == 1; }));
    peer.close();
    cr_expect(eventually([&] { return closed == 1; }));
    cr_expect(eventually([&] { return server.open_exchanges() == 0; }));
    held->on_closed([&] { ++closed; });
    cr_expect(eventually([&] { return closed == 2; }), "told when set after the close");
    held->respond({});
    held.reset();
}

// Guards against a field value that adds fields or a second answer.
Test(http_server, leaves_out_fields_with_line_breaks)
{
    io_threads threads;
    http_server server(
        threads.io, any_port,
        [](const http_request&, const auto& exchange) {
            exchange->respond({200, {{"A", "x\r\nEvil: 1"}, {"B", "y"}}, ""});
        });
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto answer = peer.read_all();
    cr_expect_eq(answer.find("Evil"), std::string::npos);
    cr_expect_neq(answer.find("B: y"), std::string::npos);
}

// Guards against a request in flight being cut by a graceful shutdown.
Test(http_server, finishes_open_requests_after_stop_accepting)
{
    std::shared_ptr<http_exchange> held;
    io_threads threads;
    http_server server(threads.io, any_port,
                       [&](const http_request&, const auto& exchange)
                       { held = exchange; });
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\n\r\n");
    cr_assert(eventually([&] { return server.open_exchanges() == 1; }));
    server.stop_accepting();
    cr_expect_throw(raw_peer{server.bound()}, std::system_error);
    held->respond({200, {}, "whole"});
    const auto answer = peer.read_all();
    cr_expect_neq(answer.find("Connection: close"), std::string::npos);
    cr_expect_neq(answer.find("whole"), std::string::npos);
    held.reset();
}

// Guards against a second process on the same port going unnoticed.
Test(http_server, throws_when_the_port_is_in_use)
{
    io_threads threads;
    http_server server(threads.io, any_port, echo);
    cr_expect_throw(http_server(threads.io, server.bound(), echo), address_error);
    cr_expect_throw(http_server(threads.io, {"no-number", 0}, echo), address_error);
}

// Guards against a caller without answer when a handler drops the request.
Test(http_server, answers_500_when_the_handler_drops_the_request)
{
    io_threads threads;
    http_server server(threads.io, any_port, [](const http_request&, const auto&) {});
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_expect_neq(peer.read_all().find("HTTP/1.1 500"), std::string::npos);
}

// Guards against large bodies stalling callers that wait for 100 Continue.
Test(http_server, sends_the_interim_answer)
{
    io_threads threads;
    http_server server(threads.io, any_port, echo);
    raw_peer peer(server.bound());
    peer.send("POST /1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
              "Connection: close\r\n\r\n");
    cr_expect_neq(peer.read_until("\r\n\r\n").find("100 Continue"), std::string::npos);
    peer.send("hi");
    cr_expect_neq(peer.read_all().find("\r\n\r\nhi"), std::string::npos);
}

// Guards against peers that stop in the middle of a request and hold their connections
// and buffers for ever.
Test(http_server, answers_408_when_the_rest_of_a_request_does_not_come)
{
    fault_counter faults;
    http_server_options options = faults.options();
    options.transfer_timeout = milliseconds(50);
    io_threads threads;
    http_server server(threads.io, any_port, echo, options);
    raw_peer idle(server.bound());
    raw_peer peer(server.bound());
    peer.send("POST /1 HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    cr_expect_neq(peer.read_all().find("HTTP/1.1 408"), std::string::npos);
    cr_expect(eventually([&] { return faults.count == 1; }));
    cr_expect(faults.last == http_fault_kind::timed_out);
    idle.send("GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_expect_neq(idle.read_all().find("200 OK"), std::string::npos,
                  "a connection without a request may stay idle");
}

// Guards against peers that never read their answer.
Test(http_server, closes_a_connection_whose_answer_is_not_read)
{
    http_server_options options;
    options.transfer_timeout = milliseconds(50);
    io_threads threads;
    http_server server(
        threads.io, any_port,
        [](const http_request&, const auto& exchange) {
            exchange->respond({200, {}, std::string(16'000'000, 'x')});
        },
        options);
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\n\r\n");
    cr_assert(eventually([&] { return server.peak_connections() == 1; }));
    cr_expect(eventually([&] { return server.open_connections() == 0; }));
}

// Guards against a long answer that is cut although its peer reads it, slowly.
Test(http_server, finishes_an_answer_that_is_read_slowly)
{
    constexpr std::size_t body_size = 16'000'000;
    constexpr std::size_t piece_size = 1'000'000;
    http_server_options options;
    options.transfer_timeout = milliseconds(150);
    io_threads threads;
    http_server server(
        threads.io, any_port,
        [](const http_request&, const auto& exchange) {
            exchange->respond({200, {}, std::string(body_size, 'x')});
        },
        options);
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::size_t got = 0;
    for (auto size = peer.read_up_to(piece_size); size > 0;
         size = peer.read_up_to(piece_size))
    {
        got += size;
        std::this_thread::sleep_for(milliseconds(40));
    }
    cr_expect(got > body_size, "got %zu bytes", got);
}

// Guards against requests of one connection waiting for each other, and against answers
// in another order than the requests.
Test(http_server, runs_pipelined_requests_together_and_answers_in_order)
{
    io_threads threads;
    std::mutex mutex;
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server_options options;
    options.max_pipelined = 3;
    http_server server(
        threads.io, any_port,
        [&](const http_request&, std::shared_ptr<http_exchange> exchange)
        {
            const std::lock_guard lock(mutex);
            held.push_back(std::move(exchange));
        },
        options);
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n"
              "GET /4 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto count = [&]
    {
        const std::lock_guard lock(mutex);
        return held.size();
    };
    cr_assert(eventually([&] { return count() == 3; }));
    held[2]->respond({200, {}, "third"});
    held[1]->respond({200, {}, "second"});
    held[0]->respond({200, {}, "first"});
    cr_assert(eventually([&] { return count() == 4; }));
    held[3]->respond({200, {}, "fourth"});
    const auto answers = peer.read_all();
    const auto first = answers.find("first");
    const auto second = answers.find("second");
    const auto third = answers.find("third");
    cr_expect(first < second && second < third && third < answers.find("fourth"),
              "got: %s", answers.c_str());
    cr_expect(eventually([&] { return server.open_exchanges() == 0; }));
}

// Guards against a stop that drops requests which the handler has, as the answer to the
// first one of their connection closes it.
Test(http_server, answers_all_requests_of_a_connection_at_a_stop)
{
    io_threads threads;
    std::mutex mutex;
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server_options options;
    options.max_pipelined = 3;
    http_server server(
        threads.io, any_port,
        [&](const http_request&, std::shared_ptr<http_exchange> exchange)
        {
            const std::lock_guard lock(mutex);
            held.push_back(std::move(exchange));
        },
        options);
    raw_peer peer(server.bound());
    peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n"
              "GET /4 HTTP/1.1\r\n\r\n");
    cr_assert(eventually(
        [&]
        {
            const std::lock_guard lock(mutex);
            return held.size() == 3;
        }));
    server.close_after_answers();
    for (const auto& exchange : held)
        exchange->respond({200, {}, "x"});
    const auto answers = peer.read_all();
    std::size_t count = 0;
    for (auto at = answers.find("200 OK"); at != std::string::npos;
         at = answers.find("200 OK", at + 1))
        ++count;
    cr_expect_eq(count, 3U, "got: %s", answers.c_str());
    const auto close = answers.find("Connection: close");
    cr_expect(close != std::string::npos && close > answers.rfind("200 OK"));
    cr_expect_eq(held.size(), 3U, "no request is taken after the stop");
}

// Guards against idle connections using up the descriptors of a node.
Test(http_server, closes_connections_that_stay_idle)
{
    io_threads threads;
    http_server_options options;
    options.idle_timeout = milliseconds{100};
    http_server server(threads.io, any_port, echo, options);
    raw_peer peer(server.bound());
    peer.send("GET /x HTTP/1.1\r\n\r\n");
    cr_expect_neq(peer.read_all().find("200 OK"), std::string::npos);
    cr_expect(eventually([&] { return server.open_connections() == 0; }));
}
