#pragma once

#include <map>
#include <mutex>
#include <string>

#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/log_service/log_service.hpp"

namespace httplib
{
class Client;
}

namespace fescueridge
{

/// Client of the log service's HTTP protocol. Every operation uses a connection of its
/// own: a cut of a reused idle connection looks like a cut after the send, which would
/// turn certain failures into unknown ones.
class http_log_service : public log_service
{
public:
    explicit http_log_service(endpoint server);

    log_offset append(const std::string& stream, const std::string& data,
                      milliseconds timeout) override;

    log_page read(const std::string& stream, log_offset from, std::uint32_t max_records,
                  milliseconds wait, milliseconds timeout) override;

    void interrupt_reads(const std::string& stream) override;

private:
    class read_registration;

    endpoint server_;
    std::mutex reads_mutex_;
    std::multimap<std::string, httplib::Client*> reads_; ///< Under way, by stream.
};

} // namespace fescueridge
