#include <criterion/criterion.h>

#include <chrono>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "fescueridge/base/error.hpp"
#include "fescueridge/membership/gossip_udp.hpp"
#include "gossip_fleet.hpp"

using namespace fescueridge;

namespace
{

member_record record_with_free_port(const std::string& id)
{
    member_record result = gossip_fleet::record(id, 0, 1);
    result.gossip.port = 0;
    return result;
}

// Runs the io_context until `done` returns true, for at most 5 s.
template <class Condition>
bool run_until(asio::io_context& context, Condition done)
{
    const time_point end = clock::now() + std::chrono::seconds(5);
    while (clock::now() < end && !done())
    {
        context.run_for(milliseconds(10));
    }
    return done();
}

} // namespace

// Two nodes must join over loopback, transmit a change of server state and count their
// traffic. This fails if gossip_udp does not connect the core to its timer, its socket or
// the callbacks.
Test(gossip_udp, two_nodes_join)
{
    asio::io_context context;
    std::size_t joined = 0;
    gossip_callbacks callbacks;
    callbacks.on_change = [&](const std::vector<member_change>& changes)
    {
        joined += changes.front().kind == change_kind::joined ? 1 : 0;
    };
    gossip_udp a(context, record_with_free_port("a"), {}, callbacks);
    gossip_udp b(context, record_with_free_port("b"), {a.local_endpoint()}, callbacks);
    a.start();
    b.start();
    cr_assert(a.local_endpoint().port != 0 && a.self().gossip == a.local_endpoint());
    cr_assert(run_until(context, [&] { return joined == 2; }));
    b.update_self([](member_record& self) { self.state = server_state::draining; });
    cr_assert(run_until(
        context,
        [&] { return a.members().front().record.state == server_state::draining; }));
    cr_assert(a.counters().bytes_received > 0 && a.counters().datagrams_sent > 0);
    cr_assert(a.counters().datagrams_malformed == 0);
}

// Malformed and oversized datagrams must each be reported and counted, and the first must
// not end reception. Opening a port in use must throw address_error.
Test(gossip_udp, reports_malformed_datagrams_and_used_ports)
{
    asio::io_context context;
    std::size_t reports = 0;
    gossip_callbacks callbacks;
    callbacks.on_malformed = [&](const endpoint&, const std::string&)
    {
        ++reports;
    };
    gossip_udp a(context, record_with_free_port("a"), {}, callbacks);
    a.start();
    using asio::ip::udp;
    udp::socket socket(context, udp::v4());
    const udp::endpoint to(asio::ip::make_address("127.0.0.1"), a.local_endpoint().port);
    socket.send_to(asio::buffer(std::string("not cbor")), to);
    socket.send_to(asio::buffer(std::string(5000, 'x')), to);
    cr_assert(run_until(context, [&] { return reports == 2; }));
    cr_assert(a.counters().datagrams_malformed == 2);
    cr_assert_throw(gossip_udp(context, a.self(), {}, {}), address_error);
}
