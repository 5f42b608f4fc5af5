#include "wire.hpp"

#include <arpa/inet.h>

#include <limits>

#include <fmt/format.h>

#include "fescueridge/base/cbor.hpp"
#include "fescueridge/base/error.hpp"

namespace fescueridge::detail
{

namespace
{

using json = nlohmann::json;

// A datagram is the CBOR array [kind, sender, nonce, target, via, numbers, wanted,
// updates], where `numbers` are the digest values and `wanted` the requested nodes.
// Omitting field names keeps a ping without updates near 50 bytes.
constexpr std::size_t datagram_fields = 8;

// An update is the array [node, incarnation, sequence, status, state, sheet, content]. A
// full update appends the IPv4 address and port of link, operator port and gossip, and
// then domain, region, service, warm_up and slots.
constexpr std::size_t short_update_fields = 7;
constexpr std::size_t full_update_fields = 18;

// Keeps a full record well below the maximum datagram size.
constexpr std::size_t max_text_bytes = 128;

// A warm-up of more than a day is treated as corrupted.
constexpr std::uint64_t max_warm_up_ms = 24ull * 3600 * 1000;

std::uint32_t ipv4_to_number(const std::string& address)
{
    in_addr number{};
    if (!address.empty() && inet_pton(AF_INET, address.c_str(), &number) != 1)
    {
        throw codec_error(
            fmt::format("address \"{}\" of a gossip record is not IPv4", address));
    }
    return ntohl(number.s_addr);
}

std::string number_to_ipv4(std::uint64_t number)
{
    return fmt::format("{}.{}.{}.{}", number >> 24 & 255, number >> 16 & 255,
                       number >> 8 & 255, number & 255);
}

std::uint64_t read_number(const json& value, std::uint64_t limit, const char* field)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limit)
    {
        throw codec_error(
            fmt::format("gossip field {} is not an unsigned integer in range", field));
    }
    return value.get<std::uint64_t>();
}

std::string read_text(const json& value, const char* field)
{
    if (!value.is_string() || value.get_ref<const std::string&>().size() > max_text_bytes)
    {
        throw codec_error(
            fmt::format("gossip field {} is not a text of at most 128 bytes", field));
    }
    return value.get<std::string>();
}

const json& read_array(const json& value, const char* field)
{
    if (!value.is_array())
    {
        throw codec_error(fmt::format("gossip field {} is not an array", field));
    }
    return value;
}

endpoint read_endpoint(const json& address, const json& port)
{
    endpoint result;
    result.address = number_to_ipv4(
        read_number(address, std::numeric_limits<std::uint32_t>::max(), "address"));
    result.port = static_cast<std::uint16_t>(
        read_number(port, std::numeric_limits<std::uint16_t>::max(), "port"));
    return result;
}

constexpr std::uint64_t max_uint64 = std::numeric_limits<std::uint64_t>::max();

void read_full_fields(const json& fields, member_record& record)
{
    record.link = read_endpoint(fields[7], fields[8]);
    record.operator_port = read_endpoint(fields[9], fields[10]);
    record.gossip = read_endpoint(fields[11], fields[12]);
    record.domain = domain_name(read_text(fields[13], "domain"));
    record.region = read_text(fields[14], "region");
    record.service = service_name(read_text(fields[15], "service"));
    record.warm_up = milliseconds(read_number(fields[16], max_warm_up_ms, "warm_up"));
    record.slots = slot_count(static_cast<std::uint32_t>(
        read_number(fields[17], std::numeric_limits<std::uint32_t>::max(), "slots")));
}

member_update read_update(const json& value)
{
    const json& fields = read_array(value, "update");
    if (fields.size() != short_update_fields && fields.size() != full_update_fields)
    {
        throw codec_error(
            fmt::format("gossip update has {} fields instead of 7 or 18", fields.size()));
    }
    member_update result;
    member_record& record = result.record;
    record.node = node_id(read_text(fields[0], "node"));
    if (record.node.get().empty())
    {
        throw codec_error("gossip field node of an update is empty");
    }
    record.incarnation_number =
        incarnation(read_number(fields[1], max_uint64, "incarnation"));
    record.sequence = read_number(fields[2], max_uint64 - 1, "sequence");
    result.status = static_cast<liveness>(read_number(fields[3], 2, "status"));
    record.state = static_cast<server_state>(read_number(fields[4], 3, "state"));
    record.sheet = sheet_version(read_number(fields[5], max_uint64, "sheet"));
    result.content_sequence = read_number(fields[6], record.sequence, "content");
    result.full = fields.size() == full_update_fields;
    if (result.full)
    {
        read_full_fields(fields, record);
    }
    return result;
}

json to_frame(const datagram& message)
{
    json via = nullptr;
    if (message.via)
    {
        via = json::array({ipv4_to_number(message.via->address), message.via->port});
    }
    json wanted = json::array();
    for (const node_id& node : message.requested_nodes)
    {
        wanted.push_back(node.get());
    }
    return json::array({static_cast<std::uint8_t>(message.kind), to_array(message.sender),
                        message.nonce, message.target.get(), std::move(via),
                        message.digest_values, std::move(wanted), json::array()});
}

json parse(std::string_view bytes)
{
    if (bytes.size() > max_gossip_datagram_bytes)
    {
        throw codec_error(fmt::format(
            "gossip datagram of {} bytes exceeds the maximum of 1200", bytes.size()));
    }
    return parse_cbor(bytes);
}

std::optional<endpoint> read_via(const json& value)
{
    if (value.is_null())
    {
        return std::nullopt;
    }
    if (!value.is_array() || value.size() != 2)
    {
        throw codec_error("gossip field via is not an array of address and port");
    }
    return read_endpoint(value[0], value[1]);
}

// Checks that a digest has one hash per bucket and a digest_reply only valid buckets.
void check_digest_values(const datagram& message)
{
    if (message.kind == datagram_kind::digest &&
        message.digest_values.size() != bucket_count)
    {
        throw codec_error("gossip digest does not have one hash per bucket");
    }
    for (const std::uint32_t number : message.digest_values)
    {
        if (message.kind == datagram_kind::digest_reply && number >= bucket_count)
        {
            throw codec_error("gossip digest reply has an unknown bucket number");
        }
    }
}

} // namespace

json to_array(const member_update& update)
{
    const member_record& record = update.record;
    json result = json::array({record.node.get(), record.incarnation_number.get(),
                               record.sequence, static_cast<std::uint8_t>(update.status),
                               static_cast<std::uint8_t>(record.state),
                               record.sheet.get(), update.content_sequence});
    if (update.full)
    {
        for (const endpoint* address :
             {&record.link, &record.operator_port, &record.gossip})
        {
            result.push_back(ipv4_to_number(address->address));
            result.push_back(address->port);
        }
        result.push_back(record.domain.get());
        result.push_back(record.region);
        result.push_back(record.service.get());
        result.push_back(static_cast<std::uint64_t>(record.warm_up.count()));
        result.push_back(record.slots.get());
    }
    return result;
}

std::string encode(const datagram& message, const std::vector<json>& updates,
                   std::size_t& next_update)
{
    json frame = to_frame(message);
    // The CBOR header of an array of up to 255 elements takes at most one byte more than
    // that of an empty array.
    std::size_t size = json::to_cbor(frame).size() + 1;
    while (next_update < updates.size() && frame.back().size() < 255)
    {
        size += json::to_cbor(updates[next_update]).size();
        if (size > max_gossip_datagram_bytes)
        {
            break;
        }
        frame.back().push_back(updates[next_update]);
        ++next_update;
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(frame);
    return {bytes.begin(), bytes.end()};
}

std::string encode(const datagram& message)
{
    std::vector<json> updates;
    updates.reserve(message.updates.size());
    for (const member_update& update : message.updates)
    {
        updates.push_back(to_array(update));
    }
    std::size_t next_update = 0;
    std::string bytes = encode(message, updates, next_update);
    if (next_update < updates.size() || bytes.size() > max_gossip_datagram_bytes)
    {
        throw codec_error("gossip datagram with its updates exceeds 1200 bytes");
    }
    return bytes;
}

datagram decode(std::string_view bytes)
{
    const json frame = parse(bytes);
    if (read_array(frame, "datagram").size() != datagram_fields)
    {
        throw codec_error(
            fmt::format("gossip datagram has {} fields instead of 8", frame.size()));
    }
    datagram result;
    const auto kind = read_number(frame[0], 9, "kind");
    if (kind == 0)
    {
        throw codec_error("gossip datagram has unknown kind 0 instead of 1 to 9");
    }
    result.kind = static_cast<datagram_kind>(kind);
    result.sender = read_update(frame[1]);
    if (result.sender.full || result.sender.status != liveness::alive)
    {
        throw codec_error(
            "sender of gossip datagram is not a short update with status alive");
    }
    result.nonce = read_number(frame[2], max_uint64, "nonce");
    result.target = node_id(read_text(frame[3], "target"));
    result.via = read_via(frame[4]);
    for (const json& number : read_array(frame[5], "numbers"))
    {
        result.digest_values.push_back(
            static_cast<std::uint32_t>(read_number(number, 0xffffffffu, "numbers")));
    }
    for (const json& name : read_array(frame[6], "wanted"))
    {
        result.requested_nodes.emplace_back(read_text(name, "wanted"));
    }
    for (const json& update : read_array(frame[7], "updates"))
    {
        result.updates.push_back(read_update(update));
    }
    check_digest_values(result);
    return result;
}

} // namespace fescueridge::detail
