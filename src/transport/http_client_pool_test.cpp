#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <mutex>
#include <optional>

#include "fescueridge/transport/http_client_pool.hpp"
#include "fescueridge/transport/http_server.hpp"
#include "test_support.hpp"

using namespace fescueridge;
using namespace std::chrono_literals;
using test::eventually;
using test::io_threads;
using test::raw_listener;
using test::raw_peer;

namespace
{

const http_request get{"GET", "/", {}, ""};

std::future<http_result> send(http_client_pool& pool, http_request request = get,
                              milliseconds timeout = 3000ms)
{
    auto promise = std::make_shared<std::promise<http_result>>();
    pool.send(std::move(request), timeout,
              [promise](http_result result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

http_failure failure(std::future<http_result> result)
{
    auto value = result.get();
    cr_assert(std::holds_alternative<http_failure>(value), "an answer was passed on");
    return std::get<http_failure>(value);
}

std::string body(std::future<http_result> result)
{
    auto value = result.get();
    cr_assert(std::holds_alternative<http_response>(value), "got %s",
              std::get<http_failure>(value).detail.c_str());
    return std::get<http_response>(value).body;
}

/// Sends one request to a scripted server that gives `answer` and closes.
http_failure failure_after(const std::string& answer, http_client_options options = {})
{
    io_threads threads;
    raw_listener listener;
    http_client_pool pool(threads.io, listener.bound(), connection_count(1), options);
    auto result = send(pool);
    raw_peer peer(listener.acceptor);
    peer.read_until("\r\n\r\n");
    peer.send(answer);
    peer.close();
    const auto seen = failure(std::move(result));
    cr_expect_eq(pool.connections(), 0U, "connection kept after %s", answer.c_str());
    return seen;
}

} // namespace

// Guards against half an answer being passed on as a whole one.
Test(http_client_pool, fails_answers_that_are_cut)
{
    for (const auto* answer : {"", "HTTP/1.1 200 OK\r\nConte",
                               "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "4\r\nhalf\r\n"})
    {
        const auto seen = failure_after(answer);
        cr_expect(seen.kind == http_failure_kind::cut, "%s", answer);
        cr_expect(seen.sent);
    }
}

// A server that stops in the middle of its header block and closes must not look like one
// whose body ends with the connection.
Test(http_client_pool, fails_answers_cut_within_the_header_block, .timeout = 60)
{
    const std::string head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\n"
                             "Content-Length: 12\r\nConnection: close\r\n\r\n";
    http_client_options options;
    options.answers_until_end = true;
    for (std::size_t size = 0; size < head.size(); ++size)
    {
        const auto seen = failure_after(head.substr(0, size), options);
        cr_expect(seen.kind == http_failure_kind::cut, "%zu bytes", size);
    }
}

// Guards against answers whose end cannot be told from a cut, and against garbage.
Test(http_client_pool, fails_malformed_answers)
{
    for (const auto* answer :
         {"HTTP/1.1 200 OK\r\n\r\nno length", "garbage\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"})
        cr_expect(failure_after(answer).kind == http_failure_kind::malformed, "%s",
                  answer);
}

// Guards against an answer that fills the memory.
Test(http_client_pool, fails_answers_over_the_limit)
{
    cr_expect(failure_after("HTTP/1.1 200 OK\r\nContent-Length: 16777217\r\n\r\n").kind ==
              http_failure_kind::too_large);
    cr_expect(failure_after("HTTP/1.1 200 OK\r\nA: " + std::string(70'000, 'a')).kind ==
              http_failure_kind::too_large);
}

// Guards against a server that sends bytes without end which never become an answer: the
// request waited until its deadline, and reading took all processor time.
Test(http_client_pool, fails_answers_that_never_begin_or_end, .timeout = 60)
{
    constexpr std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    const std::string ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    const std::vector<std::pair<std::string, std::string>> streams = {
        {"", "\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {ok + "1;", std::string(100, 'a')},
        {"", other},
    };
    for (const auto& [first, endless] : streams)
    {
        io_threads threads;
        raw_listener listener;
        http_client_pool pool(threads.io, listener.bound(), connection_count(1));
        std::promise<http_result> promise;
        pool.send(
            get, 20'000ms,
            [&](http_result result) { promise.set_value(std::move(result)); },
            [](const http_response&, connection_use) { return false; });
        raw_peer peer(listener.acceptor);
        peer.read_until("\r\n\r\n");
        std::string piece;
        while (piece.size() < 16'384)
            piece += endless;
        peer.try_send(first);
        const auto sent = peer.send_until_closed(piece, max_bytes);
        peer.close();
        cr_expect_lt(sent, max_bytes, "read without end: %s", endless.c_str());
        cr_expect(failure(promise.get_future()).kind == http_failure_kind::too_large,
                  "%s", endless.c_str());
    }
}

// Guards against bodies without end on many connections that fill the memory together,
// each below the limit of one answer.
Test(http_client_pool, bounds_the_memory_of_all_answers, .timeout = 60)
{
    constexpr std::size_t max_buffered = std::size_t{4} * 1024 * 1024;
    constexpr std::size_t socket_buffers = std::size_t{8} * 1024 * 1024;
    constexpr std::size_t connections = 8;
    io_threads threads;
    raw_listener listener;
    http_client_options options;
    options.answers_until_end = true;
    options.max_buffered_bytes = max_buffered;
    http_client_pool pool(threads.io, listener.bound(), connection_count(connections),
                          options);
    std::vector<std::future<http_result>> results;
    std::vector<std::thread> servers;
    std::atomic<std::size_t> sent{0};
    for (std::size_t i = 0; i < connections; ++i)
    {
        results.push_back(send(pool, get, 20'000ms));
        servers.emplace_back(
            [&, peer = std::make_shared<raw_peer>(listener.acceptor)]
            {
                peer->read_until("\r\n\r\n");
                peer->try_send("HTTP/1.1 200 OK\r\n\r\n");
                sent += peer->send_until_closed(std::string(16'384, 'x'),
                                                std::size_t{32} * 1024 * 1024);
                peer->close();
            });
    }
    for (auto& result : results)
        cr_expect(failure(std::move(result)).kind == http_failure_kind::too_large);
    for (auto& server : servers)
        server.join();
    cr_expect_lt(sent, 2 * max_buffered + connections * socket_buffers);
    auto after = send(pool);
    raw_peer peer(listener.acceptor);
    peer.read_until("\r\n\r\n");
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    cr_expect_str_eq(body(std::move(after)).c_str(), "ok");
}

// Guards against an answer to a request that was given up reaching the next request.
Test(http_client_pool, drops_late_answers)
{
    io_threads threads;
    raw_listener listener;
    http_client_pool pool(threads.io, listener.bound(), connection_count(1));
    auto first = send(pool, get, 50ms);
    raw_peer late(listener.acceptor);
    late.read_until("\r\n\r\n");
    const auto seen = failure(std::move(first));
    cr_expect(seen.kind == http_failure_kind::timed_out);
    cr_expect(seen.sent);
    auto second = send(pool);
    raw_peer next(listener.acceptor);
    late.try_send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    next.read_until("\r\n\r\n");
    next.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    cr_expect_str_eq(body(std::move(second)).c_str(), "second");
}

// Guards against a surplus answer of the server being taken for the next one (crossed).
Test(http_client_pool, drops_connections_with_a_surplus_answer)
{
    io_threads threads;
    raw_listener listener;
    http_client_pool pool(threads.io, listener.bound(), connection_count(1));
    const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    auto first = send(pool);
    raw_peer crossed(listener.acceptor);
    crossed.read_until("\r\n\r\n");
    crossed.send(one + "first");
    cr_expect_str_eq(body(std::move(first)).c_str(), "first");
    crossed.send(one + "cross");
    auto second = send(pool);
    raw_peer next(listener.acceptor);
    next.read_until("\r\n\r\n");
    next.send(one + "right");
    cr_expect_str_eq(body(std::move(second)).c_str(), "right");
}

// Guards against a part of an answer without length that is passed on as a whole one, as
// the write of the request took the error of a reset connection. An orderly end before
// the whole request was read is an end of the answer too.
Test(http_client_pool, fails_answers_without_length_that_are_reset, .timeout = 60)
{
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\n" + std::string(5'000, 'x');
    const http_request upload{"POST", "/", {}, std::string(std::size_t{12} << 20U, 'u')};
    http_client_options options;
    options.answers_until_end = true;
    for (int i = 0; i < 30; ++i)
    {
        io_threads threads(1 + i % 2);
        raw_listener listener;
        http_client_pool pool(threads.io, listener.bound(), connection_count(1), options);
        auto result = send(pool, upload);
        raw_peer peer(listener.acceptor);
        peer.read_until("\r\n\r\n");
        peer.send(answer);
        const bool orderly = i % 3 == 0;
        if (orderly)
            peer.finish_sending();
        if (orderly)
            peer.read_all();
        else
            peer.close();
        if (orderly)
            cr_expect_eq(body(std::move(result)).size(), 5'000U);
        else
            cr_expect(failure(std::move(result)).kind == http_failure_kind::cut);
    }
}

// Guards against a request being lost on a connection that the server closed while idle.
Test(http_client_pool, does_not_use_a_stale_connection)
{
    io_threads threads;
    raw_listener listener;
    http_client_pool pool(threads.io, listener.bound(), connection_count(1));
    for (int i = 0; i < 20; ++i)
    {
        auto result = send(pool);
        raw_peer peer(listener.acceptor);
        peer.read_until("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        cr_expect_str_eq(body(std::move(result)).c_str(), "ok");
        peer.close();
    }
}

// Guards against more connections than the server allows, and against lost requests.
Test(http_client_pool, never_exceeds_the_connection_limit)
{
    io_threads server_threads;
    io_threads threads(3);
    http_server server(server_threads.io, {"127.0.0.1", 0},
                       [](const http_request& request, const auto& exchange) {
                           exchange->respond({200, {}, request.body});
                       });
    http_client_pool pool(threads.io, server.bound(), connection_count(5));
    pool.warm(50);
    std::vector<std::future<http_result>> results;
    for (int i = 0; i < 500; ++i)
        results.push_back(send(pool, {"POST", "/", {}, std::to_string(i)}));
    for (int i = 0; i < 500; ++i)
        cr_expect_str_eq(body(std::move(results[i])).c_str(), std::to_string(i).c_str());
    cr_expect_leq(server.peak_connections(), 5U);
    cr_expect_eq(pool.connections(), 5U);
}

// Guards against "not sent" being wrong when the port refuses.
Test(http_client_pool, reports_a_refused_connection_as_not_sent)
{
    io_threads threads;
    std::optional<raw_listener> listener(std::in_place);
    const auto target = listener->bound();
    listener.reset();
    http_client_pool pool(threads.io, target, connection_count(2));
    const auto seen = failure(send(pool));
    cr_expect(seen.kind == http_failure_kind::connect_failed);
    cr_expect_not(seen.sent);
}

// Guards against requests that wait without end while all connections are busy.
Test(http_client_pool, times_out_requests_that_wait_for_a_connection)
{
    io_threads threads;
    raw_listener listener;
    http_client_pool pool(threads.io, listener.bound(), connection_count(1));
    auto busy = send(pool);
    raw_peer peer(listener.acceptor);
    peer.read_until("\r\n\r\n");
    const auto seen = failure(send(pool, get, 50ms));
    cr_expect(seen.kind == http_failure_kind::no_connection);
    cr_expect_not(seen.sent);
    cr_expect_eq(pool.waiting(), 0U);
    pool.close();
    cr_expect(failure(std::move(busy)).kind == http_failure_kind::cancelled);
}

// Guards against a cancelled request that goes on at the server.
Test(http_client_pool, closes_the_connection_of_a_cancelled_request)
{
    std::atomic<int> closed{0};
    std::mutex mutex;
    std::vector<std::shared_ptr<http_exchange>> held;
    io_threads threads;
    http_server server(threads.io, {"127.0.0.1", 0},
                       [&](const http_request&, const auto& exchange)
                       {
                           const std::lock_guard lock(mutex);
                           held.push_back(exchange);
                           exchange->on_closed([&] { ++closed; });
                       });
    http_client_pool pool(threads.io, server.bound(), connection_count(1));
    std::promise<http_result> promise;
    auto handle = pool.send(
        get, 3000ms, [&](http_result result) { promise.set_value(std::move(result)); });
    cr_assert(eventually([&] { return server.open_exchanges() == 1; }));
    handle.cancel();
    handle.cancel();
    cr_expect(failure(promise.get_future()).kind == http_failure_kind::cancelled);
    cr_expect(eventually([&] { return closed == 1; }));
    const std::lock_guard lock(mutex);
    held.clear();
}

// Guards against a request that is sent on a connection that fell silent together with
// the one that has just timed out.
Test(http_client_pool, closes_idle_connections_after_a_timeout, .timeout = 5)
{
    io_threads threads;
    raw_listener listener;
    http_client_options options;
    options.close_idle_after_timeout = true;
    http_client_pool pool(threads.io, listener.bound(), connection_count(4), options);
    auto first = send(pool);
    auto second = send(pool);
    raw_peer silent(listener.acceptor);
    raw_peer also_silent(listener.acceptor);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (raw_peer* peer : {&silent, &also_silent})
    {
        peer->read_until("\r\n\r\n");
        peer->send(answer);
    }
    body(std::move(first));
    body(std::move(second));
    cr_expect(failure(send(pool, get, 50ms)).kind == http_failure_kind::timed_out);
    auto retry = send(pool, get, 1000ms);
    raw_peer fresh(listener.acceptor);
    fresh.read_until("\r\n\r\n");
    fresh.send(answer);
    cr_expect_str_eq(body(std::move(retry)).c_str(), "ok");
}

// Guards against a lost or doubled callback when time-outs, cancels and answers meet.
Test(http_client_pool, calls_back_exactly_once)
{
    std::atomic<int> calls{0};
    std::atomic<int> wrong{0};
    io_threads threads(4);
    http_server server(threads.io, {"127.0.0.1", 0},
                       [](const http_request& request, const auto& exchange) {
                           exchange->respond({200, {}, request.body});
                       });
    http_client_pool pool(threads.io, server.bound(), connection_count(8));
    constexpr int count = 5000;
    for (int i = 0; i < count; ++i)
    {
        const auto text = std::to_string(i);
        auto handle = pool.send({"POST", "/", {}, text}, milliseconds(1 + i % 7),
                                [&, text](const http_result& result)
                                {
                                    const auto* answer =
                                        std::get_if<http_response>(&result);
                                    wrong += answer && answer->body != text;
                                    ++calls;
                                });
        if (i % 3 == 0)
            handle.cancel();
        if (i % 100 == 0)
            std::this_thread::sleep_for(1ms);
    }
    cr_expect(eventually([&] { return calls == count; }), "%d", calls.load());
    std::this_thread::sleep_for(20ms);
    cr_expect_eq(calls, count);
    cr_expect_eq(wrong, 0);
}

// A server in trouble may send a status that no answer can have; a client must not get it
// as one.
Test(http_client_pool, fails_answers_without_a_valid_status)
{
    for (const std::string status :
         {"000", "099", "99", "20", "0200", "1", "007", "2000"})
    {
        const auto seen =
            failure_after("HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n");
        cr_expect(seen.kind == http_failure_kind::malformed, "status %s: %s",
                  status.c_str(), seen.detail.c_str());
        cr_expect(seen.sent);
    }
}
