#include "fescueridge/base/settings.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "fescueridge/base/error.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

/// Reads the members of one JSON object and remembers which ones were asked for, so that
/// unknown keys can be reported.
class object_reader
{
public:
    object_reader(const json& object, std::string file, std::string prefix)
        : object_(object), file_(std::move(file)), prefix_(std::move(prefix))
    {
        if (!object_.is_object())
        {
            fail("", "must be an object");
        }
    }

    [[noreturn]] void fail(const std::string& key, const std::string& reason) const
    {
        const std::string dot = !prefix_.empty() && !key.empty() ? "." : "";
        throw settings_error(file_, prefix_ + dot + key, reason);
    }

    const json* find(const std::string& key)
    {
        known_.insert(key);
        const auto found = object_.find(key);
        return found == object_.end() ? nullptr : &*found;
    }

    const json& get(const std::string& key)
    {
        const json* value = find(key);
        if (value == nullptr)
        {
            fail(key, "is missing");
        }
        return *value;
    }

    std::string text(const std::string& key)
    {
        const json& value = get(key);
        if (!value.is_string() || value.get_ref<const std::string&>().empty())
        {
            fail(key, "must be a text that is not empty, not " + value.dump());
        }
        return value.get<std::string>();
    }

    endpoint address(const std::string& key) { return to_endpoint(key, get(key)); }

    endpoint to_endpoint(const std::string& key, const json& value) const
    {
        if (!value.is_string())
        {
            fail(key, "must be a text \"address:port\", not " + value.dump());
        }
        try
        {
            return parse_endpoint(value.get_ref<const std::string&>());
        }
        catch (const address_error& problem)
        {
            fail(key, problem.what());
        }
    }

    /// `unit` is named in the error message, for example " of milliseconds".
    std::int64_t number(const std::string& key, std::int64_t fallback, std::int64_t low,
                        std::int64_t high, const std::string& unit = "")
    {
        const json* value = find(key);
        if (value == nullptr)
        {
            return fallback;
        }
        if (!value->is_number_integer())
        {
            fail(key, "must be a whole number" + unit + ", not " + value->dump());
        }
        const auto result = value->get<std::int64_t>();
        if (result < low || result > high)
        {
            fail(key, "must be from " + std::to_string(low) + " to " +
                          std::to_string(high) + ", not " + value->dump());
        }
        return result;
    }

    void reject_unknown_keys() const
    {
        for (const auto& item : object_.items())
        {
            if (known_.count(item.key()) == 0)
            {
                fail(item.key(), "is not a known key; known are " + known_keys());
            }
        }
    }

private:
    std::string known_keys() const
    {
        std::string result;
        for (const std::string& key : known_)
        {
            result += (result.empty() ? "" : ", ") + key;
        }
        return result;
    }

    const json& object_;
    std::string file_;
    std::string prefix_;
    std::set<std::string> known_;
};

void read_listen_addresses(const json& value, const std::string& file,
                           node_settings& result)
{
    object_reader listen(value, file, "listen");
    result.listen_caller = listen.address("caller");
    result.listen_server = listen.address("server");
    result.listen_link = listen.address("link");
    result.listen_operator = listen.address("operator");
    result.listen_gossip = listen.address("gossip");
    listen.reject_unknown_keys();
}

void read_advertised_addresses(object_reader& reader, const std::string& file,
                               node_settings& result)
{
    result.advertised_link = result.listen_link;
    result.advertised_gossip = result.listen_gossip;
    const json* value = reader.find("advertise");
    if (value == nullptr)
    {
        return;
    }
    object_reader advertise(*value, file, "advertise");
    result.advertised_link = advertise.address("link");
    result.advertised_gossip = advertise.address("gossip");
    advertise.reject_unknown_keys();
}

std::vector<endpoint> read_contacts(object_reader& reader)
{
    std::vector<endpoint> result;
    const json* contacts = reader.find("contacts");
    if (contacts == nullptr)
    {
        return result;
    }
    if (!contacts->is_array())
    {
        reader.fail("contacts", "must be a list of \"address:port\"");
    }
    for (const json& contact : *contacts)
    {
        result.push_back(reader.to_endpoint("contacts", contact));
    }
    return result;
}

control_policy read_experiment(const json& value, const std::string& file)
{
    object_reader experiment(value, file, "experiment");
    const std::string control = experiment.text("control");
    experiment.reject_unknown_keys();
    if (control == "full")
    {
        return full_control{};
    }
    if (control == "no_control")
    {
        return no_control{};
    }
    if (control == "fixed_limit")
    {
        return fixed_limit_control{};
    }
    experiment.fail("control", "must be full, no_control or fixed_limit");
}

} // namespace

node_settings parse_settings(const std::string& text, const std::string& file)
{
    json document;
    try
    {
        document = json::parse(text, nullptr, true, true);
    }
    // Also a number that no double can hold, which is no parse_error.
    catch (const json::exception& problem)
    {
        throw settings_error(file, "", problem.what());
    }
    object_reader reader(document, file, "");
    node_settings result;
    result.node = node_id(reader.text("node"));
    result.domain = domain_name(reader.text("failure_domain"));
    result.region = reader.text("region");
    read_listen_addresses(reader.get("listen"), file, result);
    read_advertised_addresses(reader, file, result);
    result.contacts = read_contacts(reader);
    if (reader.find("log_service") != nullptr)
    {
        result.log_service = reader.address("log_service");
    }
    constexpr std::int64_t year_ms = std::int64_t{365} * 24 * 3'600'000;
    const std::string unit = " of milliseconds";
    result.log_retention = milliseconds(reader.number(
        "log_retention_ms", result.log_retention.count(), 1'000, year_ms, unit));
    result.threads = static_cast<unsigned>(reader.number("threads", 1, 1, 64));
    result.drain_timeout =
        milliseconds(reader.number("drain_timeout_ms", 30'000, 0, 3'600'000, unit));
    constexpr std::int64_t default_caller_mb = 64;
    constexpr std::int64_t most_caller_mb = 65'536;
    constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
    result.caller_bytes =
        bytes_per_mb *
        static_cast<std::size_t>(reader.number("caller_memory_mb", default_caller_mb, 1,
                                               most_caller_mb, " of megabytes"));
    constexpr std::int64_t default_connections = 8'192;
    constexpr std::int64_t most_connections = 1'000'000;
    result.caller_connections = static_cast<std::size_t>(
        reader.number("caller_connections", default_connections, 1, most_connections));
    if (const json* experiment = reader.find("experiment"))
    {
        result.control = read_experiment(*experiment, file);
    }
    reader.reject_unknown_keys();
    return result;
}

node_settings load_settings(const std::string& file)
{
    std::ifstream input(file);
    std::ostringstream text;
    // Opening a directory succeeds; only reading it fails.
    if (!input || input.peek() == std::ifstream::traits_type::eof())
    {
        throw settings_error(file, "", input.eof() ? "is empty" : "cannot be read");
    }
    text << input.rdbuf();
    return parse_settings(text.str(), file);
}

} // namespace fescueridge
