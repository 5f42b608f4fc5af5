#include "runner.hpp"

#include <algorithm>
#include <random>

#include <fmt/format.h>

namespace load
{

namespace
{

using fescueridge::milliseconds;

// The node answers at the timeout; its answer is waited for a little longer, so that the
// outcome it reports is seen.
constexpr milliseconds answer_grace{100};

// Request numbers are unique over the classes and all have 13 digits, so that none is a
// part of another.
constexpr std::uint64_t number_span = 10'000'000'000;

std::string with_number(std::string text, std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    for (std::size_t at = text.find("{n}"); at != std::string::npos;
         at = text.find("{n}", at + digits.size()))
    {
        text.replace(at, 3, digits);
    }
    return text;
}

const char* name_of(wire_result result)
{
    switch (result)
    {
    case wire_result::timed_out:
        return "timed_out";
    case wire_result::connect_failed:
        return "connect_failed";
    case wire_result::broken:
        return "broken";
    case wire_result::answered:
        break;
    }
    return "answered";
}

} // namespace

arrival_process::arrival_process(const load_plan& plan, std::size_t of_class,
                                 std::uint64_t seed)
    : plan_(plan), class_(of_class),
      random_(fescueridge::stable_hash(plan.classes[of_class].name, seed))
{
    advance();
}

void arrival_process::advance()
{
    next_.reset();
    while (phase_ < plan_.phases.size())
    {
        const load::phase& current = plan_.phases[phase_];
        const double end = phase_start_ + static_cast<double>(current.duration.count());
        const double rate = plan_.classes[class_].rate * current.factors[class_] / 1000;
        if (rate > 0)
        {
            time_ += std::exponential_distribution<double>(rate)(random_);
            if (time_ < end)
            {
                next_ = time_;
                return;
            }
        }
        // The process has no memory, so it may start afresh with the new rate.
        time_ = end;
        phase_start_ = end;
        ++phase_;
    }
}

/// A request with all its attempts.
struct runner::request
{
    explicit request(asio::io_context& context) : retry_timer(context) {}

    std::size_t of_class = 0;
    std::size_t in_phase = 0;
    std::uint64_t number = 0;
    double intended_ms = 0;
    unsigned attempts = 0;
    unsigned under_way = 0;
    bool settled = false;
    bool gave_up = false;
    request_result last = request_result::lost;
    asio::steady_timer retry_timer;
};

runner::runner(asio::io_context& context, const load_plan& plan, std::uint64_t seed)
    : context_(context), plan_(plan), seed_(seed), client_(context, plan.targets),
      arrival_timer_(context)
{
    record_.counts.assign(plan.classes.size(),
                          std::vector<attempt_counts>(plan.phases.size()));
    for (std::size_t i = 0; i < plan.classes.size(); ++i)
    {
        numbers_.push_back((100 + i) * number_span);
    }
    for (const phase& item : plan.phases)
    {
        record_.duration_ms += static_cast<double>(item.duration.count());
    }
}

double runner::elapsed_ms() const
{
    return std::chrono::duration<double, std::milli>(steady::now() - start_).count();
}

steady::time_point runner::at(double ms) const
{
    return start_ + std::chrono::duration_cast<steady::duration>(
                        std::chrono::duration<double, std::milli>(ms));
}

void runner::start_open()
{
    for (std::size_t i = 0; i < plan_.classes.size(); ++i)
    {
        arrivals_.emplace_back(plan_, i, seed_);
    }
    start_ = steady::now();
    schedule_arrivals();
}

void runner::schedule_arrivals()
{
    std::optional<double> first;
    for (const arrival_process& item : arrivals_)
    {
        if (item.next() && (!first || *item.next() < *first))
        {
            first = item.next();
        }
    }
    if (!first)
    {
        return;
    }
    arrival_timer_.expires_at(at(*first));
    arrival_timer_.async_wait(
        [this](const std::error_code& problem)
        {
            if (!problem)
            {
                send_due_arrivals();
                schedule_arrivals();
            }
        });
}

void runner::send_due_arrivals()
{
    const double now = elapsed_ms();
    for (std::size_t i = 0; i < arrivals_.size(); ++i)
    {
        arrival_process& process = arrivals_[i];
        while (process.next() && *process.next() <= now)
        {
            const double lag = now - *process.next();
            record_.max_send_lag_ms = std::max(record_.max_send_lag_ms, lag);
            send_attempt(make_request(i, process.phase(), *process.next()));
            process.advance();
        }
    }
}

std::shared_ptr<runner::request>
runner::make_request(std::size_t of_class, std::size_t in_phase, double intended_ms)
{
    auto item = std::make_shared<request>(context_);
    ++unsettled_;
    item->of_class = of_class;
    item->in_phase = in_phase;
    item->number = numbers_[of_class]++;
    item->intended_ms = intended_ms;
    return item;
}

std::string runner::encode(const request& item) const
{
    const call_class& kind = plan_.classes[item.of_class];
    const std::string path = with_number(kind.path, item.number);
    const std::string body = with_number(kind.body, item.number);
    std::string head = fmt::format(
        "{} {}{}{} HTTP/1.1\r\nHost: load\r\nFescue-Timeout-Ms: {}\r\n", kind.method,
        kind.service.empty() ? "" : "/call/", kind.service, path, kind.timeout.count());
    if (!kind.caller.empty())
    {
        head += fmt::format("Fescue-Caller: {}\r\n", kind.caller);
    }
    if (kind.idempotency_key)
    {
        head += fmt::format("Idempotency-Key: load-{}-{}\r\n", seed_, item.number);
    }
    if (kind.retry == retry_policy::hard_same_id)
    {
        head += fmt::format("Fescue-Root: load-{}-{}\r\nFescue-Attempt: {}\r\n", seed_,
                            item.number, item.attempts);
    }
    if (!body.empty() || kind.method != "GET")
    {
        head += fmt::format("Content-Length: {}\r\n", body.size());
    }
    return head + "\r\n" + body;
}

void runner::send_attempt(const std::shared_ptr<request>& item)
{
    const call_class& kind = plan_.classes[item->of_class];
    ++item->attempts;
    ++item->under_way;
    ++under_way_;
    ++record_.counts[item->of_class][item->in_phase].attempts;
    const std::size_t target = next_target_++ % plan_.targets.size();
    client_.send(target, encode(*item), steady::now() + kind.timeout + answer_grace,
                 [this, item](call_answer&& answer)
                 { take_answer(item, std::move(answer)); });
    if (kind.retry != retry_policy::none)
    {
        schedule_retry(item);
    }
}

void runner::schedule_retry(const std::shared_ptr<request>& item)
{
    const call_class& kind = plan_.classes[item->of_class];
    const double wait = static_cast<double>(kind.retry_every.count()) * item->attempts;
    if (wait >= static_cast<double>(kind.give_up.count()))
    {
        item->gave_up = true;
        return;
    }
    item->retry_timer.expires_at(at(item->intended_ms + wait));
    item->retry_timer.async_wait(
        [this, item](const std::error_code& problem)
        {
            if (!problem && !item->settled)
            {
                send_attempt(item);
            }
        });
}

void runner::take_answer(const std::shared_ptr<request>& item, call_answer&& answer)
{
    --item->under_way;
    --under_way_;
    attempt_counts& counts = record_.counts[item->of_class][item->in_phase];
    const request_result result = judge(*item, answer, counts);
    if (item->settled)
    {
        return;
    }
    item->last = result;
    const bool final_answer = result == request_result::ok ||
                              result == request_result::wrong ||
                              result == request_result::late;
    const bool retries = plan_.classes[item->of_class].retry != retry_policy::none;
    const bool no_more = !retries || (item->gave_up && item->under_way == 0);
    if (final_answer || no_more)
    {
        settle(item, result);
    }
}

request_result runner::judge(const request& item, const call_answer& answer,
                             attempt_counts& counts) const
{
    if (answer.result != wire_result::answered)
    {
        ++counts.wire[name_of(answer.result)];
        return request_result::lost;
    }
    if (!answer.outcome.empty())
    {
        ++counts.outcomes[answer.outcome];
    }
    const bool success = answer.status >= 200 && answer.status < 300 &&
                         (answer.outcome.empty() || answer.outcome == "ok");
    if (!success)
    {
        ++counts.refused[answer.reason.empty() ? fmt::format("status_{}", answer.status)
                                               : answer.reason];
        return request_result::refused;
    }
    if (answer.body.find(std::to_string(item.number)) == std::string::npos)
    {
        ++counts.wrong;
        return request_result::wrong;
    }
    const call_class& kind = plan_.classes[item.of_class];
    const bool late =
        kind.retry == retry_policy::none &&
        elapsed_ms() - item.intended_ms > static_cast<double>(kind.timeout.count());
    return late ? request_result::late : request_result::ok;
}

void runner::settle(const std::shared_ptr<request>& item, request_result result)
{
    item->settled = true;
    --unsettled_;
    item->retry_timer.cancel();
    sample done;
    done.intended_ms = static_cast<float>(item->intended_ms);
    done.latency_ms = static_cast<float>(elapsed_ms() - item->intended_ms);
    done.of_class = static_cast<std::uint8_t>(item->of_class);
    done.in_phase = static_cast<std::uint8_t>(item->in_phase);
    done.result = result;
    record_.samples.push_back(done);
    if (closed_)
    {
        next_closed(item->of_class);
    }
}

void runner::start_closed(std::size_t connections)
{
    closed_ = true;
    start_ = steady::now();
    for (std::size_t i = 0; i < connections; ++i)
    {
        next_closed(i % plan_.classes.size());
    }
}

void runner::next_closed(std::size_t of_class)
{
    const double now = elapsed_ms();
    double end = 0;
    for (std::size_t i = 0; i < plan_.phases.size(); ++i)
    {
        end += static_cast<double>(plan_.phases[i].duration.count());
        if (now < end)
        {
            send_attempt(make_request(of_class, i, now));
            return;
        }
    }
}

void runner::run_to_end()
{
    const auto arrives = [](const arrival_process& item)
    {
        return item.next().has_value();
    };
    while (unsettled_ > 0 || under_way_ > 0 ||
           std::any_of(arrivals_.begin(), arrivals_.end(), arrives))
    {
        context_.run_one();
    }
}

run_record runner::take_record()
{
    return std::move(record_);
}

} // namespace load
