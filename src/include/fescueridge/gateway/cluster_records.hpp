#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/gateway/settings.hpp"
#include "fescueridge/gateway/topic_follower.hpp"

namespace fescueridge::gateway
{

/// Functions that cluster_records calls on the io thread.
struct cluster_callbacks
{
    std::function<void(const node_record&)> on_node;
    std::function<void(const node_id&)> on_node_ended;

    /// Calls between routes that earlier processes have learned.
    std::function<void(const std::vector<call_edge>&)> on_calls;
};

/// What the nodes keep in the platform's log beyond their own lives: where each can be
/// reached, and what they have learned of calls between routes.
class cluster_records
{
public:
    cluster_records(asio::io_context& io, const node_settings& settings, keyed_log& log,
                    decision_log& decisions, node_record self,
                    cluster_callbacks callbacks);

    /// Publishes this node, follows the others and reads what was learned.
    void start();

    /// Keeps what was learned of calls.
    void write_calls(const std::vector<call_edge>& calls);

    /// Removes this node's record.
    void withdraw();

    /// Ends the reading.
    void stop();

private:
    void publish();
    void publish_later();
    void read_calls();
    void take_node(const keyed_record& record);
    void note_append_failure(const topic_name& topic, const log_failure& failure);

    /// Returns the message in a record, or null and a log line when there is none.
    template <class Message>
    std::optional<Message> read_record(const topic_name& topic,
                                       const keyed_record& record);

    const node_settings& settings_;
    keyed_log& log_;
    decision_log& decisions_;
    node_record self_;
    cluster_callbacks callbacks_;
    asio::steady_timer publish_timer_;
    std::shared_ptr<topic_follower> nodes_;
    bool withdrawn_ = false;
};

} // namespace fescueridge::gateway
