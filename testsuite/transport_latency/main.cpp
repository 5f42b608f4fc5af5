#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <fmt/format.h>

#include "fescueridge/transport/http_client_pool.hpp"
#include "fescueridge/transport/http_server.hpp"
#include "fescueridge/transport/link_hub.hpp"

using namespace fescueridge;

namespace
{

using precise_clock = std::chrono::steady_clock;
using done_function = std::function<void(bool)>;
using send_function = std::function<void(std::uint64_t, done_function)>;

/// Round trips with a fixed rate, taken open loop: the start is the planned one.
struct measurement
{
    std::string name;
    std::size_t calls = 2000;
    double rate = 1000;
};

struct latencies
{
    std::mutex mutex;
    std::vector<double> microseconds;
    std::size_t failed = 0;
};

double percentile(std::vector<double>& sorted, double part)
{
    const auto index =
        static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

void report(const measurement& what, latencies& seen, int run)
{
    std::sort(seen.microseconds.begin(), seen.microseconds.end());
    fmt::print("{{\"path\":\"{}\",\"run\":{},\"calls\":{},\"failed\":{},\"rate\":{},"
               "\"p50_us\":{:.0f},\"p99_us\":{:.0f},\"max_us\":{:.0f}}}\n",
               what.name, run, seen.microseconds.size(), seen.failed, what.rate,
               percentile(seen.microseconds, 0.5), percentile(seen.microseconds, 0.99),
               seen.microseconds.back());
}

void measure(const measurement& what, const send_function& send, int run)
{
    latencies seen;
    const auto step = std::chrono::duration_cast<precise_clock::duration>(
        std::chrono::duration<double>(1 / what.rate));
    auto planned = precise_clock::now() + std::chrono::milliseconds(10);
    std::atomic<std::size_t> open{what.calls};
    for (std::size_t i = 0; i < what.calls; ++i, planned += step)
    {
        std::this_thread::sleep_until(planned);
        // Starts at the actual time: the sleep of this program is not time of the path.
        const auto start = precise_clock::now();
        send(i,
             [&, start](bool ok)
             {
                 const std::chrono::duration<double, std::micro> took =
                     precise_clock::now() - start;
                 {
                     const std::lock_guard lock(seen.mutex);
                     seen.microseconds.push_back(took.count());
                     seen.failed += !ok;
                 }
                 --open;
             });
    }
    while (open > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    report(what, seen, run);
}

/// An io_context with its own threads, as one node process has.
class loop
{
public:
    explicit loop(unsigned threads) : guard_(asio::make_work_guard(io))
    {
        for (unsigned i = 0; i < threads; ++i)
            threads_.emplace_back([this] { io.run(); });
    }
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    ~loop()
    {
        io.stop();
        for (auto& thread : threads_)
            thread.join();
    }
    asio::io_context io;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::vector<std::thread> threads_;
};

/// Replies of a link, by call id.
class pending_calls
{
public:
    void add(const call_id& id, std::function<void(reply_message)> done)
    {
        const std::lock_guard lock(mutex_);
        waiting_[id] = std::move(done);
    }
    void finish(reply_message reply)
    {
        std::function<void(reply_message)> done;
        {
            const std::lock_guard lock(mutex_);
            const auto found = waiting_.find(reply.id);
            if (found == waiting_.end())
                return;
            done = std::move(found->second);
            waiting_.erase(found);
        }
        done(std::move(reply));
    }

private:
    std::mutex mutex_;
    std::unordered_map<call_id, std::function<void(reply_message)>> waiting_;
};

link_hub::hello_source hello(const std::string& name)
{
    return [name]
    {
        return hello_message{node_id(name), incarnation(1), domain_name("a"), {}};
    };
}

/// Backend server, executing node, entry node and caller, each on its own loop.
class whole_path
{
public:
    explicit whole_path(unsigned threads)
        : server_loop_(threads), executing_loop_(threads), entry_loop_(threads),
          caller_loop_(threads), events_(node_id("x"), incarnation(1)),
          server_(server_loop_.io, any_port_,
                  [](const http_request& request, const auto& exchange) {
                      exchange->respond({200, {}, request.body});
                  }),
          to_server_(executing_loop_.io, server_.bound(), connection_count(100)),
          executing_(executing_loop_.io, any_port_, hello("b"), events_,
                     {{},
                      [this](const link_ptr& link, const link_message& message)
                      { execute(link, message); },
                      {},
                      {}}),
          entry_(entry_loop_.io, any_port_, hello("a"), events_,
                 {{},
                  [this](const link_ptr&, link_message message)
                  {
                      if (auto* reply = std::get_if<reply_message>(&message))
                          pending_.finish(std::move(*reply));
                  },
                  {},
                  {}}),
          entry_http_(
              entry_loop_.io, any_port_,
              [this](http_request request, std::shared_ptr<http_exchange> exchange)
              { enter(std::move(request), std::move(exchange)); }),
          to_entry_(caller_loop_.io, entry_http_.bound(), connection_count(100)),
          direct_(caller_loop_.io, server_.bound(), connection_count(100))
    {
        events_.echo(false);
        std::promise<link_ptr> opened;
        entry_.dial(executing_.bound(),
                    [&](const link_ptr& link) { opened.set_value(link); });
        link_ = opened.get_future().get();
    }

    void send_direct(std::uint64_t, const done_function& done) { send(direct_, done); }
    void send_whole(std::uint64_t, const done_function& done) { send(to_entry_, done); }

    void send_link(std::uint64_t number, const done_function& done)
    {
        call("link" + std::to_string(number), {"PING", "/", {}, std::string(200, 'x')},
             [done](const reply_message& reply) { done(reply.status == 200); });
    }

private:
    static void send(http_client_pool& pool, const done_function& done)
    {
        pool.send(
            {"POST", "/call/b/x", {{"Fescue-Caller", "till"}}, std::string(200, 'x')},
            milliseconds(1000),
            [done](const http_result& result)
            {
                const auto* answer = std::get_if<http_response>(&result);
                done(answer && answer->status == 200 && answer->body.size() == 200);
            });
    }

    void enter(http_request request, std::shared_ptr<http_exchange> exchange)
    {
        call("call" + std::to_string(++calls_), std::move(request),
             [exchange = std::move(exchange)](reply_message reply) {
                 exchange->respond({reply.status, {}, std::move(reply.body)});
             });
    }

    void call(const std::string& id, http_request request,
              std::function<void(reply_message)> done)
    {
        call_message message;
        message.id = call_id(id);
        message.root = root_id(id);
        message.service = service_name("b");
        message.time_left = milliseconds(1000);
        message.method = std::move(request.method);
        message.path = "/x";
        message.body = std::move(request.body);
        pending_.add(message.id, std::move(done));
        link_->send(message);
    }

    void execute(const link_ptr& link, const link_message& message)
    {
        const auto* call = std::get_if<call_message>(&message);
        if (!call)
            return;
        reply_message reply;
        reply.id = call->id;
        reply.result = outcome::ok;
        reply.status = 200;
        if (call->method == "PING")
        {
            reply.body = call->body;
            link->send(reply);
            return;
        }
        to_server_.send({call->method, call->path, {}, call->body}, call->time_left,
                        [link, reply](http_result result) mutable
                        {
                            auto* answer = std::get_if<http_response>(&result);
                            reply.status = answer ? answer->status : 502;
                            if (answer)
                                reply.body = std::move(answer->body);
                            link->send(reply);
                        });
    }

    endpoint any_port_{"127.0.0.1", 0};
    loop server_loop_;
    loop executing_loop_;
    loop entry_loop_;
    loop caller_loop_;
    event_log events_;
    pending_calls pending_;
    std::atomic<std::uint64_t> calls_{0};
    link_ptr link_;
    http_server server_;
    http_client_pool to_server_;
    link_hub executing_;
    link_hub entry_;
    http_server entry_http_;
    http_client_pool to_entry_;
    http_client_pool direct_;
};

} // namespace

int main(int argc, char** argv)
{
    unsigned threads = 2;
    int runs = 3;
    measurement settings;
    CLI::App app{"Measures the time that HTTP hops and link hops add to a call"};
    app.add_option("--threads", threads, "threads per loop");
    app.add_option("--runs", runs, "runs of each path");
    app.add_option("--calls", settings.calls, "calls per run");
    app.add_option("--rate", settings.rate, "calls per second");
    CLI11_PARSE(app, argc, argv);

    whole_path path(threads);
    const auto with = [&](const std::string& name)
    {
        return measurement{name, settings.calls, settings.rate};
    };
    using namespace std::placeholders;
    for (int run = 1; run <= runs; ++run)
    {
        measure(with("http_hop"), std::bind(&whole_path::send_direct, &path, _1, _2),
                run);
        measure(with("link_hop"), std::bind(&whole_path::send_link, &path, _1, _2), run);
        measure(with("whole_path"), std::bind(&whole_path::send_whole, &path, _1, _2),
                run);
    }
}
