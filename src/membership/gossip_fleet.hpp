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

    static endpoint address(std::size_t number)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(10'000 + number)};
    }

    static member_record record(const std::string& id, std::size_t place,
                                std::uint64_t number)
    {
        member_record result;
        result.node = node_id(id);
        result.number = incarnation(number);
        result.link = {"127.0.0.1", 1};
        result.operator_port = {"127.0.0.1", 2};
        result.gossip = address(place);
        result.domain = domain_name(place % 2 == 0 ? "a" : "b");
        result.region = "north";
        result.service = service_name("till");
        result.state = server_state::ready;
        result.slots = slot_count(25);
        return result;
    }

    /// Starts a node at the next address and returns its index.
    std::size_t start(const std::string& id, std::vector<endpoint> contacts,
                      std::uint64_t number = 1000)
    {
        cores_.push_back(nullptr);
        start_at(cores_.size() - 1, id, std::move(contacts), number);
        return cores_.size() - 1;
    }

    /// Starts a node at this index and discards the node that had the index before.
    void start_at(std::size_t place, const std::string& id,
                  std::vector<endpoint> contacts, std::uint64_t number)
    {
        cores_[place] =
            std::make_unique<gossip_core>(record(id, place, number), std::move(contacts),
                                          random_engine(seed_ + 7919 * ++started_), now);
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

    void stop(std::size_t place) { cores_[place].reset(); }

    gossip_core& operator[](std::size_t place) { return *cores_[place]; }
    bool running(std::size_t place) const { return cores_[place] != nullptr; }
    std::size_t size() const { return cores_.size(); }

    /// Runs for this time or until `done` returns true. Returns false if `done` did not
    /// return true in time.
    bool run(milliseconds time, const std::function<bool()>& done = nullptr)
    {
        const time_point end = now + time;
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
            if (running(i) && !paused(i) && !sees_exactly_the_running(i))
            {
                return false;
            }
        }
        return true;
    }

    /// Returns the number of running nodes that assign this status to `node`.
    std::size_t count(const std::string& node, liveness status) const
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < size(); ++i)
        {
            const auto view = running(i) ? cores_[i]->find(node_id(node)) : std::nullopt;
            result += view && view->status == status ? 1 : 0;
        }
        return result;
    }

    bool paused(std::size_t place) const { return is_paused && is_paused(place); }

    time_point now{milliseconds(1'000'000)};
    std::function<bool(std::size_t)> is_paused;
    std::function<bool(std::size_t, std::size_t)> is_cut;
    unsigned drop_percent = 0;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::size_t largest = 0;

private:
    struct flying
    {
        std::size_t from;
        std::size_t to;
        std::string bytes;
    };

    bool sees_exactly_the_running(std::size_t place) const
    {
        std::size_t alive = 0;
        for (const member_view& view : cores_[place]->members())
        {
            const std::size_t other = view.record.gossip.port - 10'000u;
            const bool lives = running(other) && !paused(other) &&
                               cores_[other]->self().node == view.record.node;
            if ((view.status == liveness::alive) != lives)
            {
                return false;
            }
            alive += lives ? 1 : 0;
        }
        std::size_t expected = 0;
        for (std::size_t i = 0; i < size(); ++i)
        {
            expected += i != place && running(i) && !paused(i) ? 1 : 0;
        }
        return alive == expected;
    }

    void send(std::size_t from, std::vector<outgoing_datagram> datagrams_out)
    {
        for (outgoing_datagram& item : datagrams_out)
        {
            const std::size_t to = item.to.port - 10'000u;
            bytes += item.bytes.size();
            largest = std::max(largest, item.bytes.size());
            ++datagrams;
            const bool lost = to >= size() || (is_cut && is_cut(from, to)) ||
                              random_() % 100 < drop_percent;
            if (!lost)
            {
                next_.push_back({from, to, std::move(item.bytes)});
            }
        }
    }

    void step()
    {
        now += milliseconds(10);
        std::vector<flying> arriving;
        arriving.swap(next_);
        for (const flying& item : arriving)
        {
            if (running(item.to) && !paused(item.to))
            {
                send(item.to,
                     cores_[item.to]->receive(now, address(item.from), item.bytes));
            }
        }
        const auto phase = static_cast<std::size_t>(now.time_since_epoch().count() / 10);
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (running(i) && !paused(i) && (phase + i) % 5 == 0)
            {
                send(i, cores_[i]->tick(now));
            }
        }
    }

    std::uint64_t seed_;
    std::uint64_t started_ = 0;
    random_engine random_;
    std::vector<std::unique_ptr<gossip_core>> cores_;
    std::vector<flying> next_;
};

} // namespace fescueridge
