#include "mutator.hpp"

#include <cstdint>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace malformed_input
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t longest_copy = 40;

/// Returns a value of another type, or at the edge of a type's range.
json replacement(std::size_t choice)
{
    switch (choice)
    {
    case 0:
        return nullptr;
    case 1:
        return true;
    case 2:
        return -1;
    case 3:
        return std::numeric_limits<std::uint64_t>::max();
    case 4:
        return std::numeric_limits<std::int64_t>::min();
    case 5:
        return 1e308;
    case 6:
        return "";
    case 7:
        return std::string(300, 'x');
    case 8:
        return json::array();
    case 9:
        return json::object();
    case 10:
        return json::binary({0xff, 0x00});
    default:
        return 0;
    }
}

constexpr std::size_t replacement_count = 12;

/// Returns the document, or a discarded value when the text has none.
json parse(const std::string& text, input_form form)
{
    try
    {
        return form == input_form::cbor ? json::from_cbor(text) : json::parse(text);
    }
    catch (const json::exception&)
    {
        return json(json::value_t::discarded);
    }
}

/// Collects all values of a document, the document itself first.
void collect(json& value, std::vector<json*>& all)
{
    all.push_back(&value);
    if (value.is_structured())
    {
        for (json& inner : value)
        {
            collect(inner, all);
        }
    }
}

} // namespace

mutator::mutator(std::vector<std::string> samples, input_form form, std::uint64_t seed)
    : samples_(std::move(samples)), form_(form), random_(seed)
{
}

std::size_t mutator::below(std::size_t end)
{
    return end == 0 ? 0 : random_() % end;
}

std::string mutator::next()
{
    std::string result = samples_[below(samples_.size())];
    const std::size_t changes = 1 + below(4);
    for (std::size_t i = 0; i < changes; ++i)
    {
        const bool keep_structure = form_ != input_form::bytes && below(2) == 0;
        if (!keep_structure || !change_structure(result))
        {
            change_bytes(result);
        }
    }
    return result;
}

void mutator::change_bytes(std::string& text)
{
    const std::size_t at = below(text.size() + 1);
    const std::size_t length = below(longest_copy);
    switch (below(7))
    {
    case 0:
        if (at < text.size())
        {
            text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        }
        break;
    case 1:
        if (at < text.size())
        {
            text[at] = static_cast<char>(below(256));
        }
        break;
    case 2:
        text.insert(at, 1, static_cast<char>(below(256)));
        break;
    case 3:
        text.erase(at, length);
        break;
    case 4:
        text.resize(at);
        break;
    case 5:
        text.insert(below(text.size() + 1), text.substr(at, length));
        break;
    default:
    {
        const std::string& other = samples_[below(samples_.size())];
        text.replace(at, length, other.substr(below(other.size() + 1), length));
        break;
    }
    }
}

/// Replaces, removes or repeats one value. Returns false if the text has no structure
/// after earlier changes.
bool mutator::change_structure(std::string& text)
{
    json document = parse(text, form_);
    if (document.is_discarded())
    {
        return false;
    }
    std::vector<json*> all;
    collect(document, all);
    json& chosen = *all[below(all.size())];
    if (chosen.is_array() && !chosen.empty() && below(2) == 0)
    {
        const std::size_t at = below(chosen.size());
        if (below(2) == 0)
        {
            chosen.erase(at);
        }
        else
        {
            chosen.push_back(json(chosen[at]));
        }
    }
    else
    {
        chosen = replacement(below(replacement_count));
    }
    if (form_ == input_form::json)
    {
        text = document.dump(-1, ' ', false, json::error_handler_t::replace);
        return true;
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(document);
    text.assign(bytes.begin(), bytes.end());
    return true;
}

} // namespace malformed_input
