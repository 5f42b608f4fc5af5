#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <mutex>
#include <set>

#include "fescueridge/base/error.hpp"
#include "fescueridge/transport/link_hub.hpp"
#include "test_support.hpp"

using namespace fescueridge;
using namespace std::chrono_literals;
using test::eventually;
using test::io_threads;
using test::raw_peer;

namespace
{

/// A hub that answers each call with a reply of the same id and body.
struct peer_node
{
    peer_node(asio::io_context& io, const std::string& name, link_options options = {})
        : events(node_id(name), incarnation(1)),
          hub(
              io, {"127.0.0.1", 0},
              [name]
              {
                  return hello_message{node_id(name), incarnation(1), domain_name("a"),
                                       sheet_version(7)};
              },
              events, callbacks(), options)
    {
        events.echo(false);
    }

    link_callbacks callbacks()
    {
        return {[this](const link_ptr&, const hello_message&) { ++opened; },
                [this](const link_ptr& link, const link_message& message)
                { on_message(link, message); },
                [this](const link_ptr&) { ++closed; },
                [this](const link_fault& fault)
                {
                    last_fault = fault.kind;
                    ++faults;
                }};
    }

    void on_message(const link_ptr& link, const link_message& message)
    {
        if (const auto* call = std::get_if<call_message>(&message))
        {
            reply_message reply;
            reply.id = call->id;
            reply.result = outcome::ok;
            reply.body = call->body;
            link->send(reply);
        }
        if (const auto* reply = std::get_if<reply_message>(&message))
        {
            const std::lock_guard lock(mutex);
            wrong += reply->body != "body of " + reply->id.get();
            replies.insert(reply->id.get());
            ++replies_received;
        }
    }

    std::size_t reply_count()
    {
        const std::lock_guard lock(mutex);
        return replies.size();
    }

    std::atomic<int> opened{0};
    std::atomic<int> closed{0};
    std::atomic<int> faults{0};
    std::atomic<int> wrong{0};
    std::atomic<int> replies_received{0};
    std::atomic<link_fault_kind> last_fault{link_fault_kind::cut};
    std::mutex mutex;
    std::set<std::string> replies;
    event_log events;
    link_hub hub;
};

link_ptr connect(peer_node& from, peer_node& to)
{
    from.hub.dial(to.hub.bound());
    cr_assert(eventually([&] { return from.opened >= 1 && to.opened >= 1; }));
    return from.hub.links().at(0);
}

std::string upgrade_request()
{
    return "GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: "
           "Upgrade\r\n"
           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: "
           "13\r\n\r\n";
}

/// A masked binary frame with a mask of zeros.
std::string binary_frame(const std::string& payload)
{
    return "\x82" + std::string(1, static_cast<char>(0x80 | payload.size())) +
           std::string(4, '\0') + payload;
}

void expect_bad_frame(const std::string& bytes, link_fault_kind kind)
{
    io_threads threads;
    peer_node node(threads.io, "b");
    peer_node other(threads.io, "a");
    const auto good = connect(other, node);
    raw_peer bad(node.hub.bound());
    bad.send(upgrade_request());
    bad.read_until("\r\n\r\n");
    bad.try_send(bytes);
    cr_expect(eventually([&] { return node.faults >= 1; }));
    cr_expect(node.last_fault == kind, "got %s",
              std::string(to_string(node.last_fault)).c_str());
    call_message call;
    call.id = call_id("1");
    call.body = "body of 1";
    cr_expect(good->send(call));
    cr_expect(eventually([&] { return other.reply_count() == 1; }), "process goes on");
}

} // namespace

// Guards against a link that opens before both sides know who the peer is.
Test(link_hub, exchanges_hello_in_both_directions)
{
    io_threads threads;
    peer_node a(threads.io, "a");
    peer_node b(threads.io, "b");
    const auto link = connect(a, b);
    cr_expect_str_eq(link->peer().node.get().c_str(), "b");
    cr_expect_eq(link->peer().version.get(), 7U);
    cr_expect(link->dialled());
    cr_assert_not_null(b.hub.find(node_id("a")).get());
    cr_expect_null(b.hub.find(node_id("x")).get());
}

// Guards against calls that get lost or the reply of another call, with many in flight.
Test(link_hub, carries_many_calls_at_a_time)
{
    io_threads threads(3);
    peer_node a(threads.io, "a");
    peer_node b(threads.io, "b");
    const auto link = connect(a, b);
    const auto work = [&](int from)
    {
        for (int i = from; i < from + 2000; ++i)
        {
            call_message call;
            call.id = call_id(std::to_string(i));
            call.body = "body of " + call.id.get();
            cr_expect(link->send(call));
        }
    };
    std::thread other([&] { work(2000); });
    work(0);
    other.join();
    cr_expect(eventually([&] { return a.reply_count() == 4000; }), "%zu",
              a.reply_count());
    cr_expect_eq(a.wrong, 0);
    cr_expect_gt(a.events.stamp(), 4000U, "Lamport stamps were not taken over");
}

// Guards against a body of the largest size closing the link.
Test(link_hub, carries_the_largest_body)
{
    io_threads threads;
    peer_node a(threads.io, "a");
    peer_node b(threads.io, "b");
    const auto link = connect(a, b);
    call_message call;
    call.id = call_id("1");
    call.body = std::string(max_body_bytes, 'x');
    cr_expect(link->send(call));
    cr_expect(eventually([&] { return a.reply_count() == 1; }));
    cr_expect(link->is_open());
}

// Guards against several links to one peer when many calls dial at once.
Test(link_hub, shares_one_link_between_dials)
{
    io_threads threads;
    peer_node a(threads.io, "a");
    peer_node b(threads.io, "b");
    std::mutex mutex;
    std::set<link_ptr> links;
    std::atomic<int> done{0};
    for (int i = 0; i < 50; ++i)
        a.hub.dial(b.hub.bound(),
                   [&](const link_ptr& link)
                   {
                       const std::lock_guard lock(mutex);
                       links.insert(link);
                       ++done;
                   });
    cr_expect(eventually([&] { return done == 50; }));
    cr_expect_eq(links.size(), 1U);
    cr_expect(eventually([&] { return b.opened >= 1; }));
    std::this_thread::sleep_for(50ms);
    cr_expect_eq(b.opened, 1);
    links.clear();
}

// Guards against a caller that waits for a link to a dead peer.
Test(link_hub, reports_a_peer_that_cannot_be_reached)
{
    io_threads threads;
    peer_node a(threads.io, "a");
    test::raw_listener silent;
    std::atomic<int> null_links{0};
    a.hub.dial({"127.0.0.1", 1}, [&](const link_ptr& link) { null_links += !link; });
    cr_expect(eventually([&] { return null_links == 1 && a.faults == 1; }));
    cr_expect(a.last_fault == link_fault_kind::connect_failed);
    a.hub.dial(silent.bound(), [&](const link_ptr& link) { null_links += !link; });
    cr_expect(eventually([&] { return null_links == 2; }), "no answer to the handshake");
}

// Guards against a link to a paused peer that counts as usable (silence).
Test(link_hub, closes_a_link_that_is_silent)
{
    io_threads threads;
    auto paused_threads = std::make_unique<io_threads>(1);
    peer_node a(threads.io, "a");
    peer_node b(paused_threads->io, "b");
    const auto link = connect(a, b);
    std::this_thread::sleep_for(1800ms);
    cr_expect(link->is_open(), "pings keep an idle link open");
    std::promise<void> resume;
    asio::post(paused_threads->io, [&] { resume.get_future().wait(); });
    const auto start = clock::now();
    cr_expect(eventually([&] { return a.closed == 1; }));
    cr_expect_leq((clock::now() - start).count(), 2000);
    cr_expect(a.last_fault == link_fault_kind::silent);
    cr_expect_not(link->send(cancel_message{call_id("1")}));
    resume.set_value();
    cr_expect(eventually([&] { return b.closed == 1; }));
}

// Most links of a large fleet carry no request at a time, and their pings were two thirds
// of all messages. A link in use must still be checked often.
Test(link_hub, pings_an_idle_link_rarely)
{
    io_threads threads;
    const link_options options{100ms, 10'000ms, 1'000ms, 20'000ms};
    peer_node a(threads.io, "a", options);
    peer_node b(threads.io, "b", options);
    const auto link = connect(a, b);
    const auto idle = a.hub.counters().bytes_sent;
    std::this_thread::sleep_for(600ms);
    cr_expect_eq(a.hub.counters().bytes_sent, idle);
    link->expect_reply(2'000ms);
    cr_expect(eventually([&] { return a.hub.counters().bytes_sent > idle; }));
}

// A peer that does not answer a ping must not get more requests until the silence limit.
Test(link_hub, measures_the_time_of_an_unanswered_ping)
{
    io_threads threads;
    auto paused_threads = std::make_unique<io_threads>(1);
    const link_options options{100ms, 10'000ms, 1'000ms, 20'000ms};
    peer_node a(threads.io, "a", options);
    peer_node b(paused_threads->io, "b", options);
    const auto link = connect(a, b);
    cr_expect_eq(link->unanswered_for().count(), 0);
    std::promise<void> resume;
    asio::post(paused_threads->io, [&] { resume.get_future().wait(); });
    link->expect_reply(5'000ms);
    cr_expect(eventually([&] { return link->unanswered_for() > 300ms; }));
    cr_expect(link->is_open());
    resume.set_value();
    cr_expect(eventually([&] { return link->unanswered_for() == 0ms; }));
}

// A message for all peers is encoded once.
Test(link_hub, sends_an_encoded_message_on_several_links)
{
    io_threads threads;
    peer_node a(threads.io, "a");
    peer_node b(threads.io, "b");
    peer_node c(threads.io, "c");
    const auto to_b = connect(a, b);
    a.hub.dial(c.hub.bound());
    cr_assert(eventually([&] { return a.opened == 2 && c.opened == 1; }));
    call_message call;
    call.id = call_id("1");
    call.body = "body of 1";
    const auto encoded = a.hub.encode(call);
    for (const auto& link : a.hub.links())
        cr_expect(link->send_encoded(encoded));
    cr_expect(eventually([&] { return a.replies_received == 2; }));
    cr_expect_eq(a.wrong, 0);
    to_b->close();
    cr_expect(eventually([&] { return !to_b->send_encoded(encoded); }));
}

// Guards against bytes of a broken peer stopping the process or other links.
Test(link_hub, closes_a_link_on_a_bad_frame)
{
    expect_bad_frame(binary_frame("no cbor"), link_fault_kind::bad_frame);
    expect_bad_frame(binary_frame(""), link_fault_kind::bad_frame);
    expect_bad_frame(binary_frame(encode_frame({1, ping_message{1}})),
                     link_fault_kind::bad_frame);
    expect_bad_frame("\xff\xff\xff\xff\xff\xff\xff\xff", link_fault_kind::bad_frame);
}

// Guards against a frame that fills the memory.
Test(link_hub, closes_a_link_on_a_frame_over_the_limit)
{
    expect_bad_frame(std::string("\x82\xff\x00\x00\x00\x00\x02\x00\x00\x00", 10) +
                         std::string(4, '\0') + "some bytes",
                     link_fault_kind::frame_too_large);
}

// Guards against two nodes on one port.
Test(link_hub, throws_when_the_port_is_in_use)
{
    io_threads threads;
    peer_node a(threads.io, "a");
    cr_expect_throw(
        link_hub(threads.io, a.hub.bound(), [] { return hello_message{}; }, a.events, {}),
        address_error);
}

// Guards against a close that the peer or the owner does not hear of.
Test(link_hub, reports_a_close_to_both_sides_once)
{
    io_threads threads;
    peer_node a(threads.io, "a");
    peer_node b(threads.io, "b");
    const auto link = connect(a, b);
    link->close();
    link->close();
    cr_expect(eventually([&] { return a.closed == 1 && b.closed == 1; }));
    cr_expect(a.hub.links().empty());
    cr_expect_eq(a.faults + b.faults, 0);
}
