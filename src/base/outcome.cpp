#include "fescueridge/base/outcome.hpp"

#include <array>

namespace fescueridge
{

namespace
{

struct reason_entry
{
    std::string_view name;
    int status;
};

constexpr std::array<std::string_view, 4> outcome_names{"ok", "not_run", "unknown",
                                                        "failed"};

// In the order of refusal_reason.
constexpr std::array<reason_entry, 22> reasons{{
    {"overload", 503},        {"overload_downstream", 503},
    {"limit", 429},           {"draining", 503},
    {"server_gone", 503},     {"no_server", 503},
    {"no_sheet", 503},        {"no_rule", 503},
    {"log_unavailable", 503}, {"key_in_use", 409},
    {"key_missing", 400},     {"quarantined", 422},
    {"deadline", 504},        {"retries_exhausted", 429},
    {"too_deep", 400},        {"unknown_context", 400},
    {"bad_request", 400},     {"too_large", 413},
    {"server_failed", 502},   {"link_broken", 502},
    {"cancelled", 499},       {"shutting_down", 503},
}};

} // namespace

std::string_view to_string(outcome value) noexcept
{
    return outcome_names[static_cast<std::size_t>(value)];
}

std::string_view to_string(refusal_reason value) noexcept
{
    return reasons[static_cast<std::size_t>(value)].name;
}

std::optional<outcome> parse_outcome(std::string_view text) noexcept
{
    for (std::size_t i = 0; i < outcome_names.size(); ++i)
    {
        if (outcome_names[i] == text)
        {
            return static_cast<outcome>(i);
        }
    }
    return std::nullopt;
}

std::optional<refusal_reason> parse_refusal_reason(std::string_view text) noexcept
{
    for (std::size_t i = 0; i < reasons.size(); ++i)
    {
        if (reasons[i].name == text)
        {
            return static_cast<refusal_reason>(i);
        }
    }
    return std::nullopt;
}

int http_status(refusal_reason reason) noexcept
{
    return reasons[static_cast<std::size_t>(reason)].status;
}

} // namespace fescueridge
