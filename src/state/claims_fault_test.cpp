#include <atomic>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "fescueridge/log_service/memory_log_service.hpp"
#include "fescueridge/state/claim_client.hpp"
#include "test_seed.hpp"

using namespace fescueridge;

namespace
{

using fault = memory_log_service::append_fault;

/// Outcomes and executions of all calls on all nodes.
struct call_outcomes
{
    std::mutex mutex;
    std::multimap<std::string, std::string> executions; ///< By key.
    std::set<std::string> executed_calls;
    std::set<std::string> not_run;
    std::atomic<int> answered{0};
};

claim_client_options client_options(std::uint64_t node)
{
    claim_client_options options;
    options.service = service_name("publish");
    options.node = incarnation(node);
    options.append_interval = milliseconds(1);
    options.max_done_delay = milliseconds(5);
    options.decision_timeout = milliseconds(40);
    options.append_timeout = milliseconds(30);
    options.retention = milliseconds(600);
    options.follow.max_poll_wait = milliseconds(20);
    options.follow.min_backoff = milliseconds(2);
    options.follow.max_backoff = milliseconds(10);
    return options;
}

/// A node that sends calls, executes those whose claims are granted, and pauses or
/// abandons some at random.
class random_fault_node
{
public:
    random_fault_node(log_service& log, call_outcomes& outcomes, std::uint64_t seed,
                      int number)
        : outcomes_(outcomes), random_(seed + static_cast<std::uint64_t>(number)),
          name_(std::to_string(number) + "."),
          client_(std::make_unique<claim_client>(log, client_options(random_())))
    {
    }

    void send_calls(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            send_call("key" + std::to_string(random_() % 400), name_ + std::to_string(i));
            std::this_thread::sleep_for(milliseconds(random_() % 4));
        }
        while (waiting_ > 0)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        client_.reset();
    }

private:
    void send_call(const std::string& key, const std::string& call)
    {
        const milliseconds pause(random_() % 8 == 0 ? 60 : 0);
        const bool abandons = random_() % 6 == 0;
        ++waiting_;
        client_->acquire(idempotency_key(key), call_id(call), milliseconds(50),
                         [this, key, call, pause](const claim_result& result)
                         { handle_decision(key, call, pause, result); });
        if (abandons && client_->abandon(call_id(call)))
        {
            record_not_run(call);
            --waiting_;
        }
    }

    void handle_decision(const std::string& key, const std::string& call,
                         milliseconds pause, const claim_result& result)
    {
        if (std::holds_alternative<claim_unavailable>(result))
        {
            record_not_run(call);
            --waiting_;
        }
        else if (std::holds_alternative<claim_key_in_use>(result))
        {
            --waiting_;
        }
        else
        {
            std::this_thread::sleep_for(pause);
            execute(key, call);
        }
    }

    void execute(const std::string& key, const std::string& call)
    {
        if (client_->confirm_dispatch(call_id(call), clock::now()))
        {
            const std::lock_guard<std::mutex> lock(outcomes_.mutex);
            outcomes_.executions.emplace(key, call);
            outcomes_.executed_calls.insert(call);
        }
        else
        {
            record_not_run(call);
        }
        client_->finish(call_id(call));
        --waiting_;
    }

    void record_not_run(const std::string& call)
    {
        const std::lock_guard<std::mutex> lock(outcomes_.mutex);
        outcomes_.not_run.insert(call);
    }

    call_outcomes& outcomes_;
    random_engine random_;
    std::string name_;
    std::atomic<int> waiting_{0};
    std::unique_ptr<claim_client> client_;
};

/// Subjects the log to outages, slow answers and retention until `finished` is set.
void inject_log_faults(memory_log_service& log, std::uint64_t seed,
                       const std::atomic<bool>& finished)
{
    random_engine random(seed);
    log.set_retention(milliseconds(600));
    while (!finished)
    {
        const auto draw = random() % 6;
        log.set_down(draw == 0);
        log.set_slow(milliseconds(draw == 1 ? 50 : draw == 2 ? 10 : 0));
        std::this_thread::sleep_for(milliseconds(10 + random() % 30));
    }
    log.set_down(false);
    log.set_slow(milliseconds(0));
}

void run_fault_schedule(std::uint64_t seed)
{
    memory_log_service log;
    random_engine faults(seed);
    log.set_append_faults(
        [&faults]
        {
            const auto draw = faults() % 20;
            return draw < 2   ? fault::lost_answer
                   : draw < 3 ? fault::lost_append
                   : draw < 5 ? fault::delayed
                   : draw < 6 ? fault::down
                              : fault::none;
        },
        milliseconds(70));
    call_outcomes outcomes;
    std::atomic<bool> finished{false};
    std::thread fault_injector([&] { inject_log_faults(log, seed ^ 1U, finished); });
    std::vector<std::thread> nodes;
    for (int round = 0; round < 2; ++round)
    {
        for (int number = 0; number < 4; ++number)
        {
            nodes.emplace_back(
                [&, number = round * 4 + number]
                { random_fault_node(log, outcomes, seed, number).send_calls(400); });
        }
        // The nodes of the second round start after retention has dropped the first
        // records.
        std::this_thread::sleep_for(milliseconds(800));
    }
    for (std::thread& node : nodes)
    {
        node.join();
    }
    finished = true;
    fault_injector.join();
    cr_assert(!outcomes.executions.empty(), "seed %llu: no call was executed",
              static_cast<unsigned long long>(seed));
    for (const auto& [key, call] : outcomes.executions)
    {
        cr_assert_eq(outcomes.executions.count(key), 1,
                     "seed %llu: key %s was executed %zu times",
                     static_cast<unsigned long long>(seed), key.c_str(),
                     outcomes.executions.count(key));
        cr_assert_eq(outcomes.not_run.count(call), 0,
                     "seed %llu: call %s was executed although its outcome is not run",
                     static_cast<unsigned long long>(seed), call.c_str());
    }
}

} // namespace

// No key may be executed twice, and no call may be executed after its outcome was "not
// run". The schedules combine lost answers, delayed effects, outages, a slow log,
// retention, paused holders, abandoned calls and new nodes.
Test(claims, random_fault_schedules, .timeout = 60)
{
    const std::uint64_t first = test::test_seed();
    for (std::uint64_t i = 0; i < 4; ++i)
    {
        cr_log_info("seed %llu", static_cast<unsigned long long>(first + i));
        run_fault_schedule(first + i);
    }
}
