#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

#include "explain_limits.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/sheet/explain.hpp"
#include "text.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

// First element of a token. A later layout takes another number, so that old tokens stay
// readable.
// Layout 1 has no root class.
constexpr std::uint64_t token_layout = 2;
constexpr std::size_t field_count = 15;
constexpr std::size_t level_field_count = 4;
constexpr std::size_t checksum_bytes = 4;

std::string checksum(std::string_view bytes)
{
    const std::uint64_t hash = stable_hash(bytes);
    std::string result;
    for (unsigned i = 0; i < checksum_bytes; ++i)
    {
        result.push_back(static_cast<char>((hash >> (8 * i)) & 0xffU));
    }
    return result;
}

std::string cut(const std::string& name)
{
    return name.substr(0, max_token_name_bytes);
}

json to_array(const std::optional<admission_level>& level)
{
    if (!level)
    {
        return json::array();
    }
    return json::array({cut(level->service.get()), level->cut_priority,
                        level->cut_fraction, level->cut_resends ? 1U : 0U});
}

/// Reads the elements of an array in order and checks their types.
class array_reader
{
public:
    array_reader(const json& array, std::size_t size) : array_(array)
    {
        require(array.is_array() && array.size() == size);
    }

    static void require(bool condition)
    {
        if (!condition)
        {
            throw token_error(token_fault::bad_content,
                              "the token does not hold a refusal record");
        }
    }

    const json& next() { return array_[at_++]; }

    std::uint64_t number(std::uint64_t highest)
    {
        const json& value = next();
        require(value.is_number_unsigned());
        const auto result = value.get<std::uint64_t>();
        require(result <= highest);
        return result;
    }

    std::string text()
    {
        const json& value = next();
        require(value.is_string());
        return value.get<std::string>();
    }

private:
    const json& array_;
    std::size_t at_ = 0;
};

std::optional<admission_level> read_level(const json& value, bool classes)
{
    array_reader::require(value.is_array());
    if (value.empty())
    {
        return std::nullopt;
    }
    array_reader reader(value, level_field_count - (classes ? 0 : 1));
    admission_level level;
    level.service = service_name(reader.text());
    level.cut_priority = static_cast<std::uint8_t>(reader.number(lowest_priority + 1));
    level.cut_fraction = static_cast<std::uint16_t>(reader.number(max_cut_fraction));
    level.cut_resends = classes && reader.number(1) == 1;
    return level;
}

refusal_record read_record(const json& document)
{
    constexpr auto any = std::numeric_limits<std::uint64_t>::max();
    const bool classes = document.is_array() && document.size() == field_count;
    array_reader reader(document, field_count - (classes ? 0 : 1));
    array_reader::require(reader.number(any) == token_layout - (classes ? 0 : 1));
    refusal_record record;
    record.version = sheet_version(reader.number(any));
    record.content_hash = reader.number(any);
    record.row = static_cast<std::uint32_t>(
        reader.number(std::numeric_limits<std::uint32_t>::max()));
    record.row_text = reader.text();
    const auto reason = parse_refusal_reason(reader.text());
    const auto result = parse_outcome(reader.text());
    array_reader::require(reason.has_value() && result.has_value());
    record.reason = *reason;
    record.result = *result;
    record.service = service_name(reader.text());
    record.caller = caller_name(reader.text());
    record.rank = priority(static_cast<std::uint8_t>(reader.number(lowest_priority)));
    record.domain = domain_name(reader.text());
    record.node = node_id(reader.text());
    record.wall_ms = static_cast<std::int64_t>(reader.number(max_wall_ms));
    record.level = read_level(reader.next(), classes);
    if (classes)
    {
        record.resend = reader.number(1) == 1;
    }
    return record;
}

} // namespace

token_error::token_error(token_fault fault, const std::string& text)
    : codec_error(text), fault_(fault)
{
}

std::string encode_token(const refusal_record& record)
{
    const auto rank = std::min(record.rank.get(), lowest_priority);
    const std::int64_t highest = max_wall_ms;
    const auto wall_ms =
        static_cast<std::uint64_t>(std::clamp<std::int64_t>(record.wall_ms, 0, highest));
    const json document = json::array(
        {token_layout, record.version.get(), record.content_hash, record.row,
         record.row_text, std::string(to_string(record.reason)),
         std::string(to_string(record.result)), cut(record.service.get()),
         cut(record.caller.get()), rank, cut(record.domain.get()), cut(record.node.get()),
         wall_ms, to_array(record.level), record.resend.value_or(false) ? 1U : 0U});
    const std::vector<std::uint8_t> cbor = json::to_cbor(document);
    const std::string bytes(cbor.begin(), cbor.end());
    return detail::to_base64url(bytes + checksum(bytes));
}

refusal_record decode_token(std::string_view token)
{
    token = detail::trim(token);
    if (token.size() > max_token_bytes)
    {
        throw token_error(token_fault::too_long,
                          fmt::format("the token has {} characters; {} are allowed",
                                      token.size(), max_token_bytes));
    }
    std::string bytes;
    if (token.empty() || !detail::from_base64url(token, bytes))
    {
        throw token_error(token_fault::not_base64url,
                          "the text is not an explain token: it is empty, cut off or has "
                          "characters other than letters, digits, \"-\" and \"_\"");
    }
    if (bytes.size() <= checksum_bytes)
    {
        throw token_error(token_fault::bad_checksum, "the token is too short");
    }
    const std::string content = bytes.substr(0, bytes.size() - checksum_bytes);
    if (checksum(content) != bytes.substr(content.size()))
    {
        throw token_error(token_fault::bad_checksum,
                          "the token is damaged: its checksum does not match");
    }
    return read_record(json::from_cbor(content, true, false));
}

} // namespace fescueridge
