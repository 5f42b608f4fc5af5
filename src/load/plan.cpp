#include "plan.hpp"

#include <fstream>
#include <initializer_list>
#include <iterator>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "fescueridge/base/error.hpp"

namespace load
{

namespace
{

using fescueridge::milliseconds;
using fescueridge::settings_error;
using json = nlohmann::json;

// Samples store class and phase in one byte each.
constexpr std::size_t max_entries = 250;

/// Reads keys of one JSON object and remembers where it stands for error messages.
class reader
{
public:
    reader(const json& object, std::string file, std::string place)
        : object_(object), file_(std::move(file)), place_(std::move(place))
    {
        if (!object.is_object())
        {
            fail("", "must be an object");
        }
    }

    void allow(std::initializer_list<const char*> keys) const
    {
        for (const auto& item : object_.items())
        {
            bool known = false;
            for (const char* key : keys)
            {
                known = known || item.key() == key;
            }
            if (!known)
            {
                fail(item.key(), "is not known");
            }
        }
    }

    std::string text(const char* key, const std::string& fallback) const
    {
        const auto found = object_.find(key);
        if (found == object_.end())
        {
            return fallback;
        }
        if (!found->is_string())
        {
            fail(key, "must be a text");
        }
        return found->get<std::string>();
    }

    double number(const char* key, double fallback) const
    {
        const auto found = object_.find(key);
        if (found == object_.end())
        {
            return fallback;
        }
        if (!found->is_number() || found->get<double>() < 0)
        {
            fail(key, "must be a number from 0");
        }
        return found->get<double>();
    }

    milliseconds duration(const char* key, milliseconds fallback) const
    {
        const double value = number(key, static_cast<double>(fallback.count()));
        return milliseconds(static_cast<std::int64_t>(value));
    }

    bool flag(const char* key) const
    {
        const auto found = object_.find(key);
        if (found != object_.end() && !found->is_boolean())
        {
            fail(key, "must be true or false");
        }
        return found != object_.end() && found->get<bool>();
    }

    const json& list(const char* key) const
    {
        const auto found = object_.find(key);
        if (found == object_.end() || !found->is_array() || found->empty() ||
            found->size() > max_entries)
        {
            fail(key, fmt::format("must be a list of 1 to {} entries", max_entries));
        }
        return *found;
    }

    const json* find(const char* key) const
    {
        const auto found = object_.find(key);
        return found == object_.end() ? nullptr : &*found;
    }

    reader inside(const json& object, const std::string& name) const
    {
        return {object, file_, place_.empty() ? name : place_ + "." + name};
    }

    [[noreturn]] void fail(const std::string& key, const std::string& reason) const
    {
        const std::string joint = place_.empty() || key.empty() ? "" : ".";
        throw settings_error(file_, place_ + joint + key, reason);
    }

private:
    const json& object_;
    std::string file_;
    std::string place_;
};

retry_policy read_retry(const reader& in)
{
    const std::string policy = in.text("retry", "none");
    const std::string id = in.text("retry_id", "same");
    if (policy == "none")
    {
        return retry_policy::none;
    }
    if (policy != "hard")
    {
        in.fail("retry", "must be \"none\" or \"hard\"");
    }
    if (id != "same" && id != "fresh")
    {
        in.fail("retry_id", "must be \"same\" or \"fresh\"");
    }
    return id == "same" ? retry_policy::hard_same_id : retry_policy::hard_fresh_id;
}

call_class read_class(const reader& in)
{
    in.allow({"name", "caller", "service", "path", "method", "body", "rate", "timeout_ms",
              "idempotency_key", "retry", "retry_id", "retry_every_ms", "give_up_ms"});
    call_class result;
    result.name = in.text("name", "");
    if (result.name.empty())
    {
        in.fail("name", "is missing");
    }
    result.caller = in.text("caller", "");
    result.service = in.text("service", "");
    result.path = in.text("path", "/{n}");
    result.method = in.text("method", "GET");
    result.body = in.text("body", "");
    result.rate = in.number("rate", 0);
    result.timeout = in.duration("timeout_ms", result.timeout);
    result.idempotency_key = in.flag("idempotency_key");
    result.retry = read_retry(in);
    result.retry_every = in.duration("retry_every_ms", result.retry_every);
    result.give_up = in.duration("give_up_ms", result.give_up);
    if (result.path.empty() || result.path.front() != '/')
    {
        in.fail("path", "must start with /");
    }
    if (result.path.find("{n}") == std::string::npos &&
        result.body.find("{n}") == std::string::npos)
    {
        // Without it, an answer to another request could not be told from the right one.
        in.fail("path", "or body must hold {n}");
    }
    if (result.retry != retry_policy::none && result.retry_every.count() == 0)
    {
        in.fail("retry_every_ms", "must be at least 1");
    }
    return result;
}

void read_factors(const reader& in, const std::vector<call_class>& classes, phase& result)
{
    result.factors.assign(classes.size(), 1.0);
    const json* factors = in.find("factor");
    if (factors == nullptr)
    {
        return;
    }
    const reader names = in.inside(*factors, "factor");
    for (const auto& item : factors->items())
    {
        bool known = false;
        for (std::size_t i = 0; i < classes.size(); ++i)
        {
            if (classes[i].name == item.key())
            {
                result.factors[i] = names.number(item.key().c_str(), 1);
                known = true;
            }
        }
        if (!known)
        {
            names.fail(item.key(), "is not the name of a class");
        }
    }
}

phase read_phase(const reader& in, const std::vector<call_class>& classes)
{
    in.allow({"name", "duration_ms", "surge", "factor"});
    phase result;
    result.name = in.text("name", "");
    result.duration = in.duration("duration_ms", milliseconds(0));
    result.surge = in.flag("surge");
    if (result.duration.count() == 0)
    {
        in.fail("duration_ms", "must be at least 1");
    }
    read_factors(in, classes, result);
    return result;
}

} // namespace

load_plan load_plan_file(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
    {
        throw settings_error(file, "", "cannot be read");
    }
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    const json object = json::parse(text, nullptr, false, true);
    const reader in(object, file, "");
    in.allow({"targets", "classes", "phases"});
    load_plan result;
    for (const json& target : in.list("targets"))
    {
        if (!target.is_string())
        {
            in.fail("targets", "must be texts \"address:port\"");
        }
        result.targets.push_back(
            fescueridge::parse_endpoint(target.get_ref<const std::string&>()));
    }
    for (const json& item : in.list("classes"))
    {
        const std::string place = fmt::format("classes[{}]", result.classes.size());
        result.classes.push_back(read_class(in.inside(item, place)));
    }
    for (const json& item : in.list("phases"))
    {
        const std::string place = fmt::format("phases[{}]", result.phases.size());
        result.phases.push_back(read_phase(in.inside(item, place), result.classes));
    }
    return result;
}

} // namespace load
