#include <asio/io_context.hpp>
#include <criterion/criterion.h>

#include "fescueridge/node/server_monitor.hpp"

using namespace fescueridge;

namespace
{

/// A monitor that keeps the state it publishes.
struct monitor_fixture
{
    monitor_fixture() { events.echo(false); }

    void announce(std::uint64_t start, server_state state = server_state::ready)
    {
        server_announcement server;
        server.service = service_name("till");
        server.address = {"127.0.0.1", 9};
        server.slots = slot_count(4);
        server.connections = connection_count(4);
        server.state = state;
        server.incarnation_number = incarnation(start);
        monitor.announce(server);
    }

    asio::io_context io;
    sheet_holder sheets;
    refusal_maker refusals{node_id("n1"), domain_name("a"), sheets};
    call_table calls;
    quarantine_table suspicions;
    event_log events{node_id("n1"), incarnation(1)};
    server_executor executor{
        executor_dependencies{io, sheets, refusals, calls, suspicions, events,
                              [](const auto& /*records*/) {}, [] {}, full_control{}}};
    member_record published;
    server_monitor monitor{executor, events,
                           [this](const auto& edit)
                           {
                               edit(published);
                           }};
};

} // namespace

// Guards against a late announcement of an earlier start that ends a drain.
Test(server_monitor, keeps_a_drained_start_out)
{
    monitor_fixture node;
    node.announce(7);
    node.monitor.drain();
    node.announce(6);
    node.announce(7);
    cr_expect(node.published.state == server_state::draining);
    node.monitor.on_server_crash();
    node.announce(6);
    node.announce(7);
    cr_expect(node.published.state == server_state::draining);
    node.announce(8);
    cr_expect(node.published.state == server_state::ready);
}

// Guards against a delayed announcement that ends the leaving of a start which has
// announced it.
Test(server_monitor, keeps_a_start_out_that_announced_its_leaving)
{
    monitor_fixture node;
    node.announce(7);
    node.announce(7, server_state::draining);
    node.announce(7);
    cr_expect(node.published.state == server_state::draining);
    node.announce(8);
    cr_expect(node.published.state == server_state::ready);
}

// Guards against a late announcement that replaces a later start.
Test(server_monitor, ignores_an_earlier_start_while_a_later_one_lives)
{
    monitor_fixture node;
    node.announce(7);
    node.announce(6, server_state::draining);
    cr_expect(node.published.state == server_state::ready);
    node.monitor.on_server_crash();
    node.announce(6);
    cr_expect(node.published.state == server_state::ready);
}

// Guards against a drain that is acknowledged and lost, as no server is known yet.
Test(server_monitor, drains_the_first_start_after_an_early_drain)
{
    monitor_fixture node;
    node.monitor.drain();
    node.announce(7);
    cr_expect(node.published.state == server_state::draining);
    node.announce(8);
    cr_expect(node.published.state == server_state::ready);
}
