#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "backend_server.hpp"

using namespace fescueridge;
using namespace std::chrono_literals;

namespace
{

/// A node that takes announcements and answers downstream calls with a set status.
struct fake_node
{
    explicit fake_node(asio::io_context& io)
        : server(io, {"127.0.0.1", 0},
                 [this](const http_request& request, const auto& exchange)
                 {
                     const std::lock_guard lock(mutex);
                     const bool announced = request.target == "/v1/server";
                     if (announced)
                         states.push_back(
                             nlohmann::json::parse(request.body).at("state"));
                     else
                         calls.push_back(request);
                     exchange->respond({announced ? 200 : call_status, {}, ""});
                 })
    {
    }

    std::mutex mutex;
    std::vector<std::string> states;
    std::vector<http_request> calls;
    int call_status = 200;
    http_server server;
};

/// Runs a backend server on one thread, with a pool to call it.
class running_server
{
public:
    explicit running_server(standin::options settings = {}, bool with_node = false)
        : node_(io_)
    {
        if (with_node)
            settings.node_operator = settings.node_server = node_.server.bound();
        server_.emplace(io_, settings);
        pool_.emplace(io_, server_->bound(), connection_count(100));
        thread_ = std::thread([this] { io_.run(); });
    }
    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;
    ~running_server()
    {
        io_.stop();
        thread_.join();
    }

    std::future<http_result> send(http_request request,
                                  http_call_handle* handle = nullptr)
    {
        auto promise = std::make_shared<std::promise<http_result>>();
        const auto made =
            pool_->send(std::move(request), 5000ms,
                        [promise](http_result result) { promise->set_value(result); });
        if (handle)
            *handle = made;
        return promise->get_future();
    }

    http_response get(http_request request)
    {
        return std::get<http_response>(send(std::move(request)).get());
    }

    bool stats_reach(const std::string& name, int value)
    {
        for (int i = 0; i < 1000; ++i)
        {
            const auto body = get({"GET", "/control/stats", {}, ""}).body;
            if (nlohmann::json::parse(body).at(name) == value)
                return true;
            std::this_thread::sleep_for(2ms);
        }
        return false;
    }

    std::future<void> drain()
    {
        auto promise = std::make_shared<std::promise<void>>();
        asio::post(io_, [this, promise]
                   { server_->drain([promise] { promise->set_value(); }); });
        return promise->get_future();
    }

    fake_node& node() { return node_; }

private:
    asio::io_context io_{1};
    fake_node node_;
    std::optional<standin::backend_server> server_;
    std::optional<http_client_pool> pool_;
    std::thread thread_;
};

standin::options with_slots(std::uint32_t slots, double service_ms)
{
    standin::options settings;
    settings.service = "a";
    settings.slots = slots;
    settings.service_ms = service_ms;
    return settings;
}

} // namespace

// Guards against more requests running than the server has slots.
Test(standin_server, queues_requests_over_its_slots)
{
    running_server server(with_slots(2, 50));
    std::vector<std::future<http_result>> results;
    const auto start = clock::now();
    for (int i = 0; i < 6; ++i)
        results.push_back(server.send({"GET", "/x", {}, ""}));
    for (auto& result : results)
        cr_expect_eq(std::get<http_response>(result.get()).status, 200);
    cr_expect_geq((clock::now() - start).count(), 149);
}

// Guards against slots that stay taken by cancelled work, queued or running.
Test(standin_server, frees_the_slot_of_a_cancelled_request)
{
    running_server server(with_slots(1, 60'000));
    http_call_handle running;
    http_call_handle queued;
    auto first = server.send({"GET", "/1", {}, ""}, &running);
    cr_assert(server.stats_reach("running", 1));
    auto second = server.send({"GET", "/2", {}, ""}, &queued);
    cr_assert(server.stats_reach("queued", 1));
    queued.cancel();
    cr_expect(server.stats_reach("queued", 0));
    running.cancel();
    cr_expect(server.stats_reach("running", 0));
    cr_expect(server.stats_reach("cancelled", 1));
    cr_expect(server.stats_reach("executions", 1));
}

// Guards against downstream calls that lose the context, the key or the body.
Test(standin_server, passes_the_request_on_downstream)
{
    auto settings = with_slots(1, 0);
    settings.downstream = {"b", "c"};
    running_server server(settings, true);
    const auto answer = server.get(
        {"POST", "/p", {{"Fescue-Context", "1"}, {"Idempotency-Key", "k"}}, "q"});
    cr_expect_eq(answer.status, 200);
    const std::lock_guard lock(server.node().mutex);
    cr_assert_eq(server.node().calls.size(), 2U);
    const auto& call = server.node().calls[1];
    cr_expect_str_eq(call.target.c_str(), "/call/c/p");
    cr_expect_str_eq(call.method.c_str(), "POST");
    cr_expect_str_eq(call.body.c_str(), "q");
    cr_expect_str_eq(find_header(call.headers, "fescue-context")->c_str(), "1");
    cr_expect_str_eq(find_header(call.headers, "idempotency-key")->c_str(), "k");
}

// Guards against a failed downstream call being reported as success.
Test(standin_server, answers_502_when_a_downstream_call_fails)
{
    auto settings = with_slots(1, 0);
    settings.downstream = {"b", "c"};
    running_server server(settings, true);
    server.node().call_status = 503;
    cr_expect_eq(server.get({"GET", "/p", {}, ""}).status, 502);
    cr_expect_eq(server.node().calls.size(), 1U, "no call after the failed one");
}

// Guards against a planned stop that interrupts a request or is not announced.
Test(standin_server, announces_and_finishes_running_work_when_draining)
{
    running_server server(with_slots(1, 300), true);
    auto result = server.send({"GET", "/x", {}, ""});
    cr_assert(server.stats_reach("running", 1));
    server.drain().wait();
    cr_assert(result.wait_for(1s) == std::future_status::ready);
    cr_expect(std::holds_alternative<http_response>(result.get()));
    const std::lock_guard lock(server.node().mutex);
    cr_expect_str_eq(server.node().states.front().c_str(), "ready");
    cr_expect_str_eq(server.node().states.back().c_str(), "draining");
}

// Guards against tests that cannot make the server slow or failing.
Test(standin_server, is_changed_over_the_control_port)
{
    running_server server(with_slots(1, 60'000));
    const std::string change = R"({"service_ms": 1, "fail_percent": 100})";
    cr_expect_eq(server.get({"POST", "/control", {}, change}).status, 200);
    cr_expect_eq(server.get({"GET", "/x", {}, ""}).status, 500);
    for (const auto* bad :
         {"{", "[]", R"({"fail_percent": 101})", R"({"service_ms": ""})"})
        cr_expect_eq(server.get({"POST", "/control", {}, bad}).status, 400, "%s", bad);
}

// Guards against a poison request that does not end the process.
Test(standin_server, crashes_on_a_poison_request, .exit_code = 70)
{
    auto settings = with_slots(1, 0);
    settings.poison = "BOOM";
    running_server server(settings);
    server.get({"POST", "/x", {}, "a BOOM b"});
}

// Guards against executions that are missing from the record.
Test(standin_server, records_the_start_and_end_of_each_execution)
{
    char name[] = "standin_record_XXXXXX";
    cr_assert_neq(::mkstemp(name), -1);
    auto settings = with_slots(1, 0);
    settings.record_file = name;
    running_server server(settings);
    server.get({"POST", "/x", {{"Idempotency-Key", "k"}}, "q"});
    std::ifstream file(name);
    std::string started;
    std::string finished;
    std::getline(file, started);
    std::getline(file, finished);
    cr_expect_eq(nlohmann::json::parse(started).at("status"), "started");
    cr_expect_eq(nlohmann::json::parse(finished).at("status"), "finished");
    cr_expect_eq(nlohmann::json::parse(finished).at("key"), "k");
    std::remove(name);
}
