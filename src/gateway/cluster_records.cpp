#include "fescueridge/gateway/cluster_records.hpp"

#include "fescueridge/base/error.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge::gateway
{
namespace
{

constexpr milliseconds log_operation_timeout{1'000};
constexpr milliseconds publish_retry_delay{500};
/// Node records are read in batches: each read of the topic is a call of every node. The
/// delay is acceptable because a starting node dials all nodes that it finds, and the
/// links announce it to the others; only a withdrawal is learned by reading.
constexpr read_delay nodes_read_delay{milliseconds{3'000}, milliseconds{12'000}};

constexpr const char* call_edges_key = "calls";

} // namespace

cluster_records::cluster_records(asio::io_context& io, const node_settings& settings,
                                 keyed_log& log, decision_log& decisions,
                                 node_record self, cluster_callbacks callbacks)
    : settings_(settings), log_(log), decisions_(decisions), self_(std::move(self)),
      callbacks_(std::move(callbacks)), publish_timer_(io)
{
    topic_callbacks node_callbacks;
    node_callbacks.on_record = [this](const keyed_record& record)
    {
        on_node_record(record);
    };
    nodes_ =
        std::make_shared<topic_follower>(io, log_, decisions_, settings_.nodes_topic,
                                         std::move(node_callbacks), nodes_read_delay);
}

void cluster_records::start()
{
    publish_node_record();
    nodes_->start();
    read_call_edges();
}

void cluster_records::on_log_restored()
{
    if (withdrawn_)
        return;
    publish_timer_.cancel();
    publish_node_record();
    nodes_->restart();
}

void cluster_records::stop()
{
    publish_timer_.cancel();
    nodes_->stop();
}

void cluster_records::publish_node_record()
{
    const keyed_record record{self_.node.get(),
                              encode_frame({0, known_nodes_message{{self_}}})};
    log_.append(settings_.nodes_topic, record, log_operation_timeout,
                [this](const log_result<append_receipt>& result)
                {
                    const auto* failure = std::get_if<log_failure>(&result);
                    if (!failure)
                        return;
                    log_append_failure(settings_.nodes_topic, *failure);
                    schedule_publish();
                });
}

void cluster_records::schedule_publish()
{
    publish_timer_.expires_after(publish_retry_delay);
    publish_timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (!ec && !withdrawn_)
                publish_node_record();
        });
}

void cluster_records::withdraw_node_record()
{
    withdrawn_ = true;
    log_.append(settings_.nodes_topic, {self_.node.get(), {}}, log_operation_timeout,
                [](const log_result<append_receipt>&)
                {
                    // A failure is harmless: peers also notice the closed link, and
                    // removing the record is only cleanup.
                });
}

void cluster_records::read_call_edges()
{
    log_.list_newest(settings_.learned_topic, {}, log_operation_timeout,
                     [this](const log_result<newest_page>& result)
                     {
                         const auto* page = std::get_if<newest_page>(&result);
                         // Without a stored record the calls are estimated again within a
                         // few seconds.
                         if (!page)
                             return;
                         for (const auto& record : page->records)
                             if (record.key == call_edges_key)
                                 on_call_edges_record(record);
                     });
}

void cluster_records::on_call_edges_record(const keyed_record& record)
{
    const auto report = read_record<node_report_message>(settings_.learned_topic, record);
    if (report)
        callbacks_.on_call_edges(report->calls);
}

void cluster_records::write_call_edges(const std::vector<call_edge>& calls)
{
    node_report_message report;
    report.calls = calls;
    log_.append(settings_.learned_topic, {call_edges_key, encode_frame({0, report})},
                log_operation_timeout,
                [this](const log_result<append_receipt>& result)
                {
                    if (const auto* failure = std::get_if<log_failure>(&result))
                        log_append_failure(settings_.learned_topic, *failure);
                });
}

void cluster_records::on_node_record(const keyed_record& record)
{
    if (record.value.empty())
        return callbacks_.on_node_removed(node_id(record.key));
    const auto known = read_record<known_nodes_message>(settings_.nodes_topic, record);
    if (!known)
        return;
    for (const auto& node : known->nodes)
        if (is_usable(record, node))
            callbacks_.on_node(node);
}

// Links to a record with an odd address would fail again and again, on every node that is
// told of it.
bool cluster_records::is_usable(const keyed_record& record, const node_record& node)
{
    try
    {
        parse_endpoint(to_string(node.link));
    }
    catch (const address_error& error)
    {
        skip(settings_.nodes_topic, record, error.what());
        return false;
    }
    if (node.node.get() == record.key)
        return true;
    skip(settings_.nodes_topic, record, "record names another node than its key");
    return false;
}

void cluster_records::skip(const topic_name& topic, const keyed_record& record,
                           const std::string& detail)
{
    ++skipped_;
    decisions_.record(log_event::records_unreadable,
                      {{"topic", topic.get()}, {"key", record.key}, {"detail", detail}});
}

template <class Message>
std::optional<Message> cluster_records::read_record(const topic_name& topic,
                                                    const keyed_record& record)
{
    try
    {
        auto frame = decode_frame(record.value);
        if (auto* message = std::get_if<Message>(&frame.message))
            return std::move(*message);
        skip(topic, record, "record holds another message");
    }
    catch (const codec_error& error)
    {
        skip(topic, record, error.what());
    }
    return std::nullopt;
}

void cluster_records::log_append_failure(const topic_name& topic,
                                         const log_failure& failure)
{
    decisions_.record(log_event::log_append_failed,
                      {{"topic", topic.get()},
                       {"cause", std::string(to_string(failure.kind))},
                       {"detail", failure.detail}});
}

} // namespace fescueridge::gateway
