#include <criterion/criterion.h>

#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "fescueridge/transport/http_server.hpp"
#include "test_support.hpp"

using namespace fescueridge;
using namespace std::chrono_literals;
using test::eventually;
using test::io_threads;
using test::raw_peer;

namespace
{

constexpr std::size_t limit = std::size_t{256} * 1024;
const std::string large_head =
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n";

/// Server with an account, that answers after the test has let it go on.
struct limited_server
{
    io_threads threads{1};
    std::shared_ptr<byte_account> account = std::make_shared<byte_account>(limit);
    std::mutex mutex;
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server server;

    explicit limited_server(std::size_t max_connections = 0)
        : server(
              threads.io, {"127.0.0.1", 0},
              [this](const http_request&, std::shared_ptr<http_exchange> exchange)
              {
                  const std::lock_guard lock(mutex);
                  held.push_back(std::move(exchange));
              },
              options(account, max_connections))
    {
    }

    static http_server_options options(std::shared_ptr<byte_account> account,
                                       std::size_t max_connections)
    {
        http_server_options result;
        result.account = std::move(account);
        result.max_connections = max_connections;
        return result;
    }

    std::size_t requests()
    {
        const std::lock_guard lock(mutex);
        return held.size();
    }

    void answer_all()
    {
        const std::lock_guard lock(mutex);
        for (const auto& exchange : held)
            exchange->respond({200, {}, "ok"});
        held.clear();
    }
};

} // namespace

Test(byte_account, has_room_for_a_single_large_message)
{
    byte_account account(100);
    cr_expect(account.has_room(1'000));
    account.change(0, 60);
    cr_expect(account.has_room(40));
    cr_expect(!account.has_room(41));
    account.change(60, 0);
    cr_expect_eq(account.used(), 0U);
    cr_expect_eq(account.peak(), 60U);
    cr_expect(byte_account().has_room(std::size_t{1} << 40U));
}

// A request that its server works on has not stalled: it must not lose its place to
// others, and what is refused for lack of room is told so before its body is read.
Test(byte_account, refuses_large_requests_while_others_are_under_way, .timeout = 30)
{
    limited_server limited;
    raw_peer first(limited.server.bound());
    first.send(large_head + std::string(60'000, 'x'));
    cr_assert(eventually([&] { return limited.requests() == 1; }));
    std::this_thread::sleep_for(300ms);
    raw_peer second(limited.server.bound());
    second.send(large_head);
    const auto refusal = second.read_until("\r\n\r\n");
    cr_expect_neq(refusal.find(" 503 "), std::string::npos, "%s", refusal.c_str());
    cr_expect_neq(refusal.find("Retry-After"), std::string::npos);
    raw_peer small(limited.server.bound());
    small.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(eventually([&] { return limited.requests() == 2; }));
    limited.answer_all();
    cr_expect_neq(first.read_until("\r\n\r\n").find(" 200 "), std::string::npos);
    cr_expect_neq(small.read_until("\r\n\r\n").find(" 200 "), std::string::npos);
    cr_expect(eventually([&] { return limited.account->used() < 16'384; }));
}

// Whoever stops in the middle of a request gives its room to those who go on.
Test(byte_account, takes_room_from_stalled_requests, .timeout = 30)
{
    limited_server limited;
    raw_peer stalled(limited.server.bound());
    stalled.send(large_head + std::string(59'000, 'x'));
    cr_assert(eventually([&] { return limited.account->used() > 50'000; }));
    std::this_thread::sleep_for(300ms);
    raw_peer next(limited.server.bound());
    next.send(large_head + std::string(60'000, 'x'));
    cr_assert(eventually([&] { return limited.requests() == 1; }));
    const auto refusal = stalled.read_until("\r\n\r\n");
    cr_expect_neq(refusal.find(" 503 "), std::string::npos, "%s", refusal.c_str());
}

// Idle connections must not use up the descriptors: a new one takes the place of the one
// that has been idle longest.
Test(byte_account, replaces_idle_connections, .timeout = 30)
{
    limited_server limited(4);
    std::vector<std::unique_ptr<raw_peer>> idle;
    for (int i = 0; i < 12; ++i)
        idle.push_back(std::make_unique<raw_peer>(limited.server.bound()));
    cr_expect(eventually([&] { return limited.server.open_connections() <= 4; }));
    idle.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_expect(eventually([&] { return limited.requests() == 1; }));
}

// Whatever a client sends, reads or leaves open, in whichever order, its room has to be
// given back when it is gone.
Test(byte_account, returns_to_zero_after_any_sequence, .timeout = 60)
{
    const std::vector<std::string> pieces{
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4000\r\n" + std::string(0x4000, 'x') + "\r\n",
        "1\r\nx\r\n",
        "0\r\n\r\n",
        "4\r\nxx",
        std::string(20'000, 'y'),
        ": : :\r\n\r\n"};
    limited_server limited(8);
    std::mt19937 random(1);
    const auto draw = [&](std::size_t count)
    {
        return random() % count;
    };
    for (int sequence = 0; sequence < 150; ++sequence)
    {
        std::vector<std::unique_ptr<raw_peer>> peers;
        for (auto steps = 2 + draw(8); steps > 0; --steps)
        {
            if (peers.empty() || draw(4) == 0)
                peers.push_back(std::make_unique<raw_peer>(limited.server.bound()));
            peers[draw(peers.size())]->try_send(pieces[draw(pieces.size())]);
            if (draw(3) == 0)
                limited.answer_all();
            if (draw(5) == 0)
                peers.erase(peers.begin());
        }
        peers.clear();
        limited.answer_all();
        cr_assert(eventually(
                      [&]
                      {
                          limited.answer_all();
                          return limited.account->used() == 0;
                      }),
                  "sequence %d: %zu bytes are left", sequence, limited.account->used());
    }
}
