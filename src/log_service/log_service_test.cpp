#include <atomic>
#include <criterion/criterion.h>
#include <httplib.h>
#include <thread>

#include "fescueridge/log_service/http_log_service.hpp"
#include "fescueridge/log_service/memory_log_service.hpp"

using namespace fescueridge;

namespace
{

constexpr milliseconds timeout{300};

enum class failure
{
    none,
    unavailable,
    unknown
};

failure append_failure(log_service& log)
{
    try
    {
        log.append("s", "data", timeout);
    }
    catch (const log_unavailable_error&)
    {
        return failure::unavailable;
    }
    catch (const log_unknown_error&)
    {
        return failure::unknown;
    }
    return failure::none;
}

/// HTTP server with one answer to every append and read.
class scripted_server
{
public:
    explicit scripted_server(httplib::Server::Handler handler)
    {
        server_.Post(".*", handler);
        server_.Get(".*", handler);
        port_ = static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1"));
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running())
        {
            std::this_thread::yield();
        }
    }
    ~scripted_server()
    {
        server_.stop();
        thread_.join();
    }
    endpoint address() const { return {"127.0.0.1", port_}; }

private:
    httplib::Server server_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

failure failure_of_answer(int status, const std::string& body)
{
    scripted_server server(
        [&](const httplib::Request&, httplib::Response& answer)
        {
            answer.status = status;
            answer.set_content(body, "application/json");
        });
    http_log_service log(server.address());
    return append_failure(log);
}

} // namespace

// Guards against calling an append certain to have failed when it may be in the log: a
// caller told "not run" would then run later.
Test(platform, append_failures_are_told_apart)
{
    cr_assert(failure_of_answer(200, R"({"offset":3})") == failure::none);
    cr_assert(failure_of_answer(503, "{}") == failure::unavailable);
    cr_assert(failure_of_answer(500, "{}") == failure::unknown);
    cr_assert(failure_of_answer(200, "no json") == failure::unknown);
    cr_assert(failure_of_answer(200, R"({"offset":"x"})") == failure::unknown);
    endpoint closed;
    {
        scripted_server server([](const httplib::Request&, httplib::Response&) {});
        closed = server.address();
    }
    http_log_service refused(closed);
    cr_assert(append_failure(refused) == failure::unavailable);
}

// Guards against an append that times out or is cut after the send being taken for
// refused.
Test(platform, timeout_and_cut_are_unknown)
{
    scripted_server slow([](const httplib::Request&, httplib::Response&)
                         { std::this_thread::sleep_for(timeout * 2); });
    http_log_service slow_log(slow.address());
    cr_assert(append_failure(slow_log) == failure::unknown);

    scripted_server cut(
        [](const httplib::Request&, httplib::Response& answer)
        {
            answer.set_content_provider(9, "application/json",
                                        [](std::size_t, std::size_t, httplib::DataSink&)
                                        { return false; });
        });
    http_log_service cut_log(cut.address());
    cr_assert(append_failure(cut_log) == failure::unknown);
}

// Guards against damaged or cut binary records, and against missing the 410 of retention.
Test(platform, read_returns_bytes_and_reports_dropped_records)
{
    scripted_server server(
        [](const httplib::Request& request, httplib::Response& answer)
        {
            const std::string from = request.get_param_value("from");
            answer.status = from == "0" ? 410 : 200;
            const std::string data = from == "8" ? "AP\u00e9=" : "AP8K";
            answer.set_content(from == "0"
                                   ? R"({"oldest":7})"
                                   : R"({"oldest":7,"next":8,"records":[{"offset":7,)"
                                     R"("time_ms":5,"data":")" +
                                         data + R"("}]})",
                               "application/json");
        });
    http_log_service log(server.address());
    const log_page page = log.read("s", log_offset(7), 9, milliseconds(0), timeout);
    cr_assert(page.next == log_offset(8) && page.records.size() == 1);
    cr_assert(page.records[0].data == std::string("\0\xff\n", 3));
    try
    {
        log.read("s", log_offset(0), 9, milliseconds(0), timeout);
        cr_assert_fail("dropped records were not reported");
    }
    catch (const log_truncated_error& problem)
    {
        cr_assert(problem.oldest() == log_offset(7));
    }
    cr_assert_throw(log.read("s", log_offset(8), 9, milliseconds(0), timeout),
                    log_unavailable_error);
}

// Guards against a long poll that holds up the stop of a node until it ends by itself.
Test(platform, read_is_interrupted)
{
    constexpr milliseconds wait{2'000};
    scripted_server slow([&](const httplib::Request&, httplib::Response&)
                         { std::this_thread::sleep_for(wait); });
    http_log_service log(slow.address());
    std::atomic<bool> ended{false};
    bool unavailable = false;
    const time_point start = clock::now();
    std::thread reader(
        [&]
        {
            try
            {
                log.read("s", log_offset(0), 1, wait, wait + timeout);
            }
            catch (const log_unavailable_error&)
            {
                unavailable = true;
            }
            ended = true;
        });
    std::this_thread::sleep_for(milliseconds(100));
    while (!ended)
    {
        log.interrupt_reads("another");
        log.interrupt_reads("s");
        std::this_thread::sleep_for(milliseconds(5));
    }
    reader.join();
    cr_assert(unavailable);
    cr_assert(clock::now() - start < wait / 2);
}

// Guards against a fake whose faults do not do what the tests built on it assume.
Test(platform, memory_log_faults)
{
    using fault = memory_log_service::append_fault;
    memory_log_service log;
    log.set_append_faults([] { return fault::lost_answer; });
    cr_assert(append_failure(log) == failure::unknown);
    cr_assert_eq(log.records("s").size(), 1);
    log.set_append_faults([] { return fault::delayed; }, milliseconds(60));
    cr_assert(append_failure(log) == failure::unknown);
    cr_assert_eq(log.records("s").size(), 1);
    const log_page late =
        log.read("s", log_offset(1), 9, milliseconds(1'000), milliseconds(2'000));
    cr_assert_eq(late.records.size(), 1);
    log.set_append_faults({});
    log.set_slow(timeout * 2);
    cr_assert(append_failure(log) == failure::unknown);
    log.set_slow(milliseconds(0));
    const log_page slow =
        log.read("s", log_offset(2), 9, milliseconds(2'000), milliseconds(3'000));
    cr_assert_eq(slow.records.size(), 1, "an append that timed out arrives later");
    log.set_down(true);
    cr_assert(append_failure(log) == failure::unavailable);
    log.set_down(false);
    log.drop_before("s", log_offset(1));
    cr_assert_throw(log.read("s", log_offset(0), 9, milliseconds(0), timeout),
                    log_truncated_error);
    log.rewind("s", log_offset(2));
    cr_assert(log.append("s", "x", timeout) == log_offset(2));
}
