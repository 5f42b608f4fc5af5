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
    std::function<void(const node_id&)> on_node_removed;

    /// Reports the calls between routes that earlier processes estimated.
    std::function<void(const std::vector<call_edge>&)> on_call_edges;
};

/// Stores in the platform's log what must survive a restart of the nodes: the address of
/// each node and the estimated calls between routes.
class cluster_records
{
public:
    cluster_records(asio::io_context& io, const node_settings& settings, keyed_log& log,
                    decision_log& decisions, node_record self,
                    cluster_callbacks callbacks);

    /// Publishes this node's record, follows the records of the others and reads the
    /// stored calls.
    void start();

    /// Writes this node's record again and lists the others anew, because the log was
    /// restored from an earlier copy. The estimated calls are written again in turn.
    void on_log_restored();

    /// Stores the estimated calls.
    void write_call_edges(const std::vector<call_edge>& calls);

    /// Removes this node's record.
    void withdraw_node_record();

    /// Stops following the records.
    void stop();

    /// Returns whether the records of all nodes have been read once.
    bool nodes_listed() const { return nodes_->listed(); }

    /// Returns the number of records that were skipped because they could not be read or
    /// hold no usable content.
    std::uint64_t skipped() const { return skipped_ + nodes_->skipped(); }

private:
    void publish_node_record();
    void schedule_publish();
    void read_call_edges();
    void on_call_edges_record(const keyed_record& record);
    void on_node_record(const keyed_record& record);
    bool is_usable(const keyed_record& record, const node_record& node);
    void skip(const topic_name& topic, const keyed_record& record,
              const std::string& detail);
    void log_append_failure(const topic_name& topic, const log_failure& failure);

    /// Decodes a record. Returns null when it holds no such message; a decoding error is
    /// logged.
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
    std::uint64_t skipped_ = 0;
};

} // namespace fescueridge::gateway
