#include "fescueridge/codec/quarantine_record.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "fescueridge/base/cbor.hpp"
#include "fescueridge/base/error.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

// More crashes than a node keeps for one request are a damaged record.
constexpr std::size_t max_listed = 1024;

std::uint64_t to_unsigned(const json& value, const char* what)
{
    if (!value.is_number_unsigned())
    {
        throw codec_error(fmt::format("{} is not an unsigned number", what));
    }
    return value.get<std::uint64_t>();
}

const json& to_list(const json& value, std::size_t group, const char* what)
{
    if (!value.is_array() || value.size() % group != 0 || value.size() > max_listed)
    {
        throw codec_error(fmt::format("{} is not a list", what));
    }
    return value;
}

} // namespace

std::string encode_quarantine_record(const quarantine_record& record)
{
    json crashes = json::array();
    for (const auto& [server, alone] : record.crashes)
    {
        crashes.push_back(server.get());
        crashes.push_back(alone);
    }
    json cleared = json::array();
    for (const incarnation& server : record.cleared)
    {
        cleared.push_back(server.get());
    }
    const json fields{record.request.get(), crashes, cleared,
                      record.last_attempt_wall_ms};
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

quarantine_record decode_quarantine_record(const std::string& bytes)
{
    const json fields = parse_cbor(bytes);
    if (!fields.is_array() || fields.size() != 4 || !fields[3].is_number_integer())
    {
        throw codec_error("quarantine record is not an array of 4 fields");
    }
    quarantine_record record;
    record.request = fingerprint(to_unsigned(fields[0], "fingerprint"));
    const json& crashes = to_list(fields[1], 2, "crashes");
    for (std::size_t i = 0; i < crashes.size(); i += 2)
    {
        if (!crashes[i + 1].is_boolean())
        {
            throw codec_error("crash has no flag");
        }
        record.crashes[incarnation(to_unsigned(crashes[i], "crash"))] =
            crashes[i + 1].get<bool>();
    }
    for (const json& server : to_list(fields[2], 1, "cleared"))
    {
        record.cleared.insert(incarnation(to_unsigned(server, "cleared")));
    }
    record.last_attempt_wall_ms = fields[3].get<std::int64_t>();
    return record;
}

} // namespace fescueridge
