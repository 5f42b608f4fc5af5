#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescueridge
{

/// What is known of a call once its answer is given.
enum class outcome : std::uint8_t
{
    ok,      ///< The backend server answered completely.
    not_run, ///< The call did not run and nothing of it will run later.
    unknown, ///< The call may have run.
    failed   ///< The call ran and the backend server reported a failure.
};

/// Why a call was refused or failed. The names are part of the protocol towards callers.
enum class refusal_reason : std::uint8_t
{
    overload,
    overload_downstream,
    limit,
    draining,
    server_gone,
    no_server,
    no_sheet,
    no_rule,
    log_unavailable,
    key_in_use,
    key_missing,
    quarantined,
    deadline,
    retries_exhausted,
    too_deep,
    unknown_context,
    bad_request,
    too_large,
    server_failed,
    link_broken,
    cancelled,
    shutting_down
};

/// Returns the protocol name of an outcome, for example "not_run".
std::string_view to_string(outcome value) noexcept;

/// Returns the protocol name of a reason, for example "overload_downstream".
std::string_view to_string(refusal_reason value) noexcept;

/// Returns the outcome with this protocol name, or nothing if there is none.
std::optional<outcome> parse_outcome(std::string_view text) noexcept;

/// Returns the reason with this protocol name, or nothing if there is none.
std::optional<refusal_reason> parse_refusal_reason(std::string_view text) noexcept;

/// Returns the HTTP status that a caller sees for a reason.
int http_status(refusal_reason reason) noexcept;

} // namespace fescueridge
