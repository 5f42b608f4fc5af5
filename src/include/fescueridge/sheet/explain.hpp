#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fescueridge/base/error.hpp"
#include "fescueridge/base/outcome.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/sheet/sheet.hpp"

namespace fescueridge
{

/// All that is needed to explain a refusal later, without any node.
struct refusal_record
{
    sheet_version version; ///< Sheet in force; 0 when there was none.
    std::uint64_t content_hash = 0;
    std::uint32_t row = 0; ///< Row that decided; 0 when no row did.
    std::string row_text;  ///< to_row_text of that row; empty without a row.
    refusal_reason reason = refusal_reason::overload;
    outcome result = outcome::not_run;
    service_name service;
    caller_name caller;
    priority rank;
    domain_name domain;
    node_id node;
    std::int64_t wall_ms = 0;             ///< Wall-clock time of the refusal.
    std::optional<admission_level> level; ///< Level that the call failed to reach.
    std::optional<bool> resend; ///< Root class; nothing in tokens of before the classes.
};

/// Fills in the parts of a record that come from the sheet. `decided` may be nullptr.
void set_rule(refusal_record& record, sheet_version version, const sheet& source,
              const rule* decided);

/// Longest caller, service, domain or node name in a token, in bytes; longer names are
/// cut. Callers choose their name, and the token must fit in an HTTP header.
constexpr std::size_t max_token_name_bytes = 200;

/// Longest token that decode_token accepts, in bytes.
constexpr std::size_t max_token_bytes = 8192;

/// What is wrong with a token.
enum class token_fault : std::uint8_t
{
    too_long,
    not_base64url,
    bad_checksum,
    bad_content
};

/// A text is not a whole explain token.
class token_error : public codec_error
{
public:
    token_error(token_fault fault, const std::string& text);

    token_fault fault() const noexcept { return fault_; }

private:
    token_fault fault_;
};

/// Returns the record as an explain token: CBOR with a checksum, in base64url.
std::string encode_token(const refusal_record& record);

/// Reads an explain token; white space around it is ignored. Throws token_error.
refusal_record decode_token(std::string_view token);

/// Returns the explanation in plain sentences that can be read out to a caller: who was
/// refused, why, which row of which version decided, whether the call ran, and whether
/// the caller may send it again. Depends on the record alone.
std::string explain(const refusal_record& record);

/// Whether a sheet confirms a refusal record.
enum class verification : std::uint8_t
{
    confirmed,       ///< The sheet is the one of the record and the row stands in it.
    same_row,        ///< Another sheet, but the row stands in it with the same text.
    row_differs,     ///< The row is not there or has another text.
    no_row_in_record ///< No row decided, so there is nothing to verify.
};

/// Returns the protocol name, for example "row_differs".
std::string_view to_string(verification value) noexcept;

/// Compares the record with a sheet.
verification verify_against(const refusal_record& record, const sheet& source);

} // namespace fescueridge
