#include "fescueridge/log_service/http_log_service.hpp"

#include <cctype>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

std::string path_of(const std::string& stream)
{
    std::string name;
    for (const char c : stream)
    {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = std::isalnum(byte) != 0 || c == '.' || c == '-' || c == '_';
        name += plain ? std::string(1, c) : fmt::format("%{:02X}", byte);
    }
    return fmt::format("/v1/streams/{}/records", name);
}

httplib::Client make_client(const endpoint& server, milliseconds timeout)
{
    httplib::Client client(server.address, server.port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

bool was_never_sent(httplib::Error problem)
{
    return problem == httplib::Error::Connection ||
           problem == httplib::Error::ConnectionTimeout ||
           problem == httplib::Error::BindIPAddress;
}

std::string decode_base64(const std::string& text)
{
    std::size_t length = text.size() / 4 * 3;
    for (std::size_t i = text.size(); i > 0 && text[i - 1] == '='; --i)
    {
        --length;
    }
    std::string bytes = websocketpp::base64_decode(text);
    if (text.size() % 4 != 0 || bytes.size() != length)
    {
        throw log_unavailable_error("log service sent a record that is not base64");
    }
    return bytes;
}

log_page parse_page(const std::string& body)
{
    const json document = json::parse(body);
    log_page page;
    page.oldest = log_offset(document.at("oldest").get<std::uint64_t>());
    page.next = log_offset(document.at("next").get<std::uint64_t>());
    for (const json& item : document.at("records"))
    {
        log_record record;
        record.offset = log_offset(item.at("offset").get<std::uint64_t>());
        record.wall_ms = item.at("time_ms").get<std::int64_t>();
        record.data = decode_base64(item.at("data").get<std::string>());
        page.records.push_back(std::move(record));
    }
    return page;
}

} // namespace

/// Makes a read known to interrupt_reads() while it is under way.
class http_log_service::read_registration
{
public:
    read_registration(http_log_service& owner, const std::string& stream,
                      httplib::Client& client)
        : owner_(owner)
    {
        const std::lock_guard<std::mutex> lock(owner_.reads_mutex_);
        place_ = owner_.reads_.emplace(stream, &client);
    }

    ~read_registration()
    {
        const std::lock_guard<std::mutex> lock(owner_.reads_mutex_);
        owner_.reads_.erase(place_);
    }

    read_registration(const read_registration&) = delete;
    read_registration& operator=(const read_registration&) = delete;

private:
    http_log_service& owner_;
    std::multimap<std::string, httplib::Client*>::iterator place_;
};

http_log_service::http_log_service(endpoint server) : server_(std::move(server)) {}

log_offset http_log_service::append(const std::string& stream, const std::string& data,
                                    milliseconds timeout)
{
    httplib::Client client = make_client(server_, timeout);
    const httplib::Result answer =
        client.Post(path_of(stream), data, "application/octet-stream");
    if (!answer)
    {
        const std::string reason = httplib::to_string(answer.error());
        if (was_never_sent(answer.error()))
        {
            throw log_unavailable_error(
                fmt::format("append to {}: {}", to_string(server_), reason));
        }
        throw log_unknown_error(
            fmt::format("append to {}: {}", to_string(server_), reason));
    }
    if (answer->status == 503 || (answer->status >= 400 && answer->status < 500))
    {
        throw log_unavailable_error(
            fmt::format("log service refuses an append with status {}", answer->status));
    }
    try
    {
        if (answer->status == 200)
        {
            const json document = json::parse(answer->body);
            return log_offset(document.at("offset").get<std::uint64_t>());
        }
    }
    catch (const json::exception& problem)
    {
        throw log_unknown_error(
            fmt::format("answer to an append cannot be read: {}", problem.what()));
    }
    throw log_unknown_error(
        fmt::format("log service answers an append with status {}", answer->status));
}

log_page http_log_service::read(const std::string& stream, log_offset from,
                                std::uint32_t max_records, milliseconds wait,
                                milliseconds timeout)
{
    httplib::Client client = make_client(server_, timeout);
    const read_registration registration(*this, stream, client);
    const httplib::Result answer =
        client.Get(fmt::format("{}?from={}&max={}&wait_ms={}", path_of(stream),
                               from.get(), max_records, wait.count()));
    if (!answer)
    {
        throw log_unavailable_error(fmt::format("read from {}: {}", to_string(server_),
                                                httplib::to_string(answer.error())));
    }
    try
    {
        if (answer->status == 410)
        {
            const auto oldest =
                json::parse(answer->body).at("oldest").get<std::uint64_t>();
            throw log_truncated_error(
                fmt::format("offset {} of stream {} was dropped", from.get(), stream),
                log_offset(oldest));
        }
        if (answer->status == 200)
        {
            return parse_page(answer->body);
        }
    }
    catch (const json::exception& problem)
    {
        throw log_unavailable_error(
            fmt::format("answer to a read cannot be parsed: {}", problem.what()));
    }
    throw log_unavailable_error(
        fmt::format("log service answers a read with status {}", answer->status));
}

void http_log_service::interrupt_reads(const std::string& stream)
{
    const std::lock_guard<std::mutex> lock(reads_mutex_);
    const auto [first, last] = reads_.equal_range(stream);
    for (auto item = first; item != last; ++item)
    {
        item->second->stop();
    }
}

} // namespace fescueridge
