#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fescueridge/base/error.hpp"
#include "fescueridge/membership/gossip_core.hpp"

namespace fescueridge
{

/// Simulated fleet of gossip cores that exchange datagrams in memory. Time advances in
/// steps of 10 ms, and a datagram is delivered in the next step.
class gossip_fleet
{
public:
    explicit gossip_fleet(std::uint64_t seed) : seed_(seed), random_(seed) {}

    static endpoint address(std::size_t index)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(10'000 + index)};
    }

    static member_record record(const std::string& id, std::size_t index,
                                std::uint64_t incarnation_number)
    {
        member_record result;
        result.node = node_id(id);
        result.incarnation_number = incarnation(incarnation_number);
        result.link = {"127.0.0.1", 1};
        result.operator_port = {"127.0.0.1", 2};
        result.gossip = address(index);
        result.domain = domain_name(index % 2 == 0 ? "a" : "b");
        result.region = "north";
        result.service = service_name("till");
        result.state = server_state::ready;
        result.slots = slot_count(25);
        return result;
    }

    /// Starts a node at the next address and returns its index.
    std::size_t start(const std::string& id, std::vector<endpoint> contacts,
                      std::uint64_t incarnation_number = 1000)
    {
        cores_.push_back(nullptr);
        start_at(cores_.size() - 1, id, std::move(contacts), incarnation_number);
        return cores_.size() - 1;
    }

    /// Starts a node at this index and discards the node that had the index before.
    void start_at(std::size_t index, const std::string& id,
                  std::vector<endpoint> contacts, std::uint64_t incarnation_number)
    {
        cores_[index] = std::make_unique<gossip_core>(
            record(id, index, incarnation_number), std::move(contacts),
            random_engine(seed_ + 7919 * ++start_count_), now);
    }

    /// Starts `count` nodes named n0, n1, ... with the first node as their contact.
    void start_many(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::string id = "n" + std::to_string(i);
            start(id,
                  i == 0 ? std::vector<endpoint>{} : std::vector<endpoint>{address(0)});
        }
    }

    void stop(std::size_t index) { cores_[index].reset(); }

    gossip_core& operator[](std::size_t index) { return *cores_[index]; }
    bool running(std::size_t index) const { return cores_[index] != nullptr; }
    std::size_t size() const { return cores_.size(); }

    /// Runs for this time or until `done` returns true. Returns false if `done` did not
    /// return true in time.
    bool run(milliseconds duration, const std::function<bool()>& done = nullptr)
    {
        const time_point end = now + duration;
        while (now < end)
        {
            step();
            if (done && done())
            {
                return true;
            }
        }
        return !done;
    }

    /// Returns true if the alive members of each running node are exactly the other
    /// running nodes.
    bool converged() const
    {
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (running(i) && !paused(i) && !has_exact_view(i))
            {
                return false;
            }
        }
        return true;
    }

    /// Returns the number of running nodes that assign this status to `node`.
    std::size_t count_views(const std::string& node, liveness status) const
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < size(); ++i)
        {
            const auto view = running(i) ? cores_[i]->find(node_id(node)) : std::nullopt;
            result += view && view->status == status ? 1 : 0;
        }
        return result;
    }

    bool paused(std::size_t index) const { return is_paused && is_paused(index); }

    time_point now{milliseconds(1'000'000)};
    std::function<bool(std::size_t)> is_paused;
    std::function<bool(std::size_t, std::size_t)> is_partitioned;
    unsigned drop_percent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_sent = 0;
    std::size_t largest_datagram_bytes = 0;

private:
    struct in_flight_datagram
    {
        std::size_t from;
        std::size_t to;
        std::string bytes;
    };

    bool has_exact_view(std::size_t index) const
    {
        std::size_t alive = 0;
        for (const member_view& view : cores_[index]->members())
        {
            const std::size_t other = view.record.gossip.port - 10'000u;
            const bool is_live = running(other) && !paused(other) &&
                                 cores_[other]->self().node == view.record.node;
            if ((view.status == liveness::alive) != is_live)
            {
                return false;
            }
            alive += is_live ? 1 : 0;
        }
        std::size_t expected = 0;
        for (std::size_t i = 0; i < size(); ++i)
        {
            expected += i != index && running(i) && !paused(i) ? 1 : 0;
        }
        return alive == expected;
    }

    void send(std::size_t from, std::vector<outgoing_datagram> outgoing)
    {
        for (outgoing_datagram& datagram : outgoing)
        {
            const std::size_t to = datagram.to.port - 10'000u;
            bytes_sent += datagram.bytes.size();
            largest_datagram_bytes =
                std::max(largest_datagram_bytes, datagram.bytes.size());
            ++datagrams_sent;
            const bool lost = to >= size() ||
                              (is_partitioned && is_partitioned(from, to)) ||
                              random_() % 100 < drop_percent;
            if (!lost)
            {
                in_flight_.push_back({from, to, std::move(datagram.bytes)});
            }
        }
    }

    void step()
    {
        now += milliseconds(10);
        std::vector<in_flight_datagram> delivered;
        delivered.swap(in_flight_);
        for (const in_flight_datagram& datagram : delivered)
        {
            if (running(datagram.to) && !paused(datagram.to))
            {
                send(datagram.to, cores_[datagram.to]->receive(
                                      now, address(datagram.from), datagram.bytes));
            }
        }
        const auto tick_phase =
            static_cast<std::size_t>(now.time_since_epoch().count() / 10);
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (running(i) && !paused(i) && (tick_phase + i) % 5 == 0)
            {
                send(i, cores_[i]->tick(now));
            }
        }
    }

    std::uint64_t seed_;
    std::uint64_t start_count_ = 0;
    random_engine random_;
    std::vector<std::unique_ptr<gossip_core>> cores_;
    std::vector<in_flight_datagram> in_flight_;
};

} // namespace fescueridge
