#include "gateway_node_impl.hpp"

namespace fescueridge::gateway
{

void gateway_node::impl::stop()
{
    if (stopping_since_)
        return;
    stopping_since_ = clock::now();
    decisions_.record(
        log_event::node_stopping,
        {{"open_requests", static_cast<std::int64_t>(router_.open_requests())},
         {"open_runs", static_cast<std::int64_t>(executor_.open_runs())}});
    executor_.stop_accepting();
    router_.quotas().stop_granting();
    request_server_->close_after_answers();
    peers_.broadcast(make_report(false));
    records_.withdraw_node_record();
}

void gateway_node::impl::check_stop()
{
    if (!stopping_since_)
        return;
    const auto passed = clock::now() - *stopping_since_;
    if (passed >= stop_schedule_.reject_clients)
        router_.reject_clients(*stopping_since_ + stop_schedule_.answer_all);
    if (passed >= stop_schedule_.recall_waiting)
        router_.recall_waiting();
    if (passed >= stop_schedule_.answer_all)
        router_.answer_all();
    const bool answers_written = request_server_->open_exchanges() == 0;
    const bool idle =
        answers_written && router_.open_requests() == 0 && executor_.open_runs() == 0;
    const bool nobody_waits = answers_written && remote_runs_.empty();
    const bool out_of_time =
        passed >= (nobody_waits ? stop_schedule_.answer_all : stop_schedule_.end);
    if (out_of_time || (idle && passed >= stop_schedule_.reject_clients))
        finish_stop();
}

void gateway_node::impl::finish_stop()
{
    finished_ = true;
    decisions_.record(
        log_event::node_stopped,
        {{"open_requests", static_cast<std::int64_t>(router_.open_requests())},
         {"open_runs", static_cast<std::int64_t>(executor_.open_runs())}});
    decisions_.flush();
    for (const auto& timer : timers_)
        timer->cancel();
    config_follower_->stop();
    records_.stop();
    io_.stop();
}

} // namespace fescueridge::gateway
