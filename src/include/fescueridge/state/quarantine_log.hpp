#pragma once

#include <functional>

#include "fescueridge/codec/quarantine_record.hpp"
#include "fescueridge/state/stream_follower.hpp"

namespace fescueridge
{

/// Follows the stream `quarantine` and passes each record to a handler. Records can be
/// merged in any order, so a gap caused by retention loses only the records that no node
/// has appended again.
class quarantine_follower
{
public:
    using handler = std::function<void(const quarantine_record&)>;

    quarantine_follower(log_service& log, follow_options options, handler on_record,
                        std::function<void(const error&)> fault = {});

    /// Appends a record. Repeating it after an error is harmless. Throws like
    /// log_service::append().
    void append(const quarantine_record& record, milliseconds timeout);

    /// Returns whether the log answered the last read of the stream.
    bool log_reachable() const noexcept { return follower_.reachable(); }

    /// Ends the thread.
    void stop() { follower_.stop(); }

private:
    void on_page(const log_page& page);
    void report_fault(const error& problem) const;

    log_service& log_;
    const handler on_record_;
    const std::function<void(const error&)> on_fault_;
    stream_follower follower_;
};

} // namespace fescueridge
