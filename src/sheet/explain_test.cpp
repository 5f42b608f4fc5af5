#include "fescueridge/sheet/explain.hpp"

#include <criterion/criterion.h>
#include <random>

#include "fescueridge/sheet/operator_api.hpp"

using namespace fescueridge;

namespace
{

void expect_text(const std::string& actual, const std::string& expected)
{
    cr_expect(actual == expected, "\"%s\" is not \"%s\"", actual.c_str(),
              expected.c_str());
}

const std::string sheet_text =
    "kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note\n"
    "rule,*,till-pricing,3,,,,,\n"
    "rule,app,till-pricing,4,100,,,,booking app\n";

std::shared_ptr<const sheet> parse(const std::string& text)
{
    return std::get<std::shared_ptr<const sheet>>(parse_sheet(text));
}

refusal_record sample_record()
{
    refusal_record record;
    const auto source = parse(sheet_text);
    set_rule(record, sheet_version(7), *source, source->find("till-pricing", "app", "/"));
    record.reason = refusal_reason::overload_downstream;
    record.service = service_name("till-pricing");
    record.caller = caller_name("app");
    record.rank = priority(4);
    record.domain = domain_name("north");
    record.node = node_id("n-17");
    record.wall_ms = 1'764'824'400'123;
    record.level = admission_level{service_name("price-register"), 2, 256, false};
    record.resend = false;
    return record;
}

bool mentions(const std::string& text, const char* part)
{
    return text.find(part) != std::string::npos;
}

token_fault fault_of(const std::string& token)
{
    try
    {
        decode_token(token);
    }
    catch (const token_error& problem)
    {
        return problem.fault();
    }
    cr_assert(false, "the token was accepted");
    return token_fault::bad_content;
}

} // namespace

// Guards against a field that is lost or swapped: every field changes the explanation.
Test(explain, same_text_after_a_round_trip)
{
    const refusal_record record = sample_record();
    const refusal_record decoded = decode_token(" " + encode_token(record) + "\n");
    expect_text(explain(decoded), explain(record));
    cr_expect_eq(decoded.wall_ms, record.wall_ms);
    cr_expect_eq(decoded.content_hash, record.content_hash);
}

// Guards against an explanation that leaves out who, why, which row, or what to do.
Test(explain, text_names_all_parts)
{
    const std::string text = explain(sample_record());
    for (const char* part :
         {"\"app\"", "\"till-pricing\"", "\"n-17\"", "\"north\"",
          "2025-12-04 05:00:00 UTC", "overload_downstream", "priority 4",
          "\"price-register\"", "below 2", "25%", "Row 3 of sheet version 7",
          "rule,app,till-pricing,4,100,,,,booking app", "did not run",
          "may send it again"})
    {
        cr_expect(mentions(text, part), "lacks: %s", part);
    }
}

// Guards against an explanation that blames the level's fraction when the class decided,
// and against naming the class when it did not.
Test(explain, resend_after_new_requests)
{
    refusal_record record = sample_record();
    record.level->cut_priority = 4;
    cr_expect(mentions(explain(record), "25% of the new requests and no resends"));
    cr_expect(!mentions(explain(record), "counted as a resend"));
    record.resend = true;
    cr_expect(mentions(explain(decode_token(encode_token(record))),
                       "resends come after new requests of the same priority"));
    record.level->cut_resends = true;
    cr_expect(mentions(explain(decode_token(encode_token(record))),
                       "all new requests and 25% of the resends of priority 4"));
    record.level->cut_priority = 2;
    cr_expect(!mentions(explain(record), "resends come after"));
}

// Guards against tokens of before the root classes that can no longer be explained, or
// that are explained with classes which their node did not have.
Test(explain, token_without_root_class)
{
    const std::string text = explain(decode_token(
        "jgEHAQN4KnJ1bGUsYXBwLHRpbGwtcHJpY2luZyw0LDEwMCwsLCxib29raW5nIGFwcHNvdm"
        "VybG9hZF9kb3duc3RyZWFtZ25vdF9ydW5sdGlsbC1wcmljaW5nY2FwcARlbm9ydGhkbi0x"
        "NxsAAAGa57tA-4NucHJpY2UtcmVnaXN0ZXIEGQEAfCbJyQ"));
    cr_expect(mentions(text, "below 4 and 25% of the calls of priority 4."));
    cr_expect(!mentions(text, "resend"));
}

// Guards against telling a caller that a call did not run when this is not known.
Test(explain, unknown_outcome)
{
    refusal_record record = sample_record();
    record.reason = refusal_reason::link_broken;
    record.result = outcome::unknown;
    const std::string text = explain(record);
    cr_expect(mentions(text, "not known whether the call ran"));
    cr_expect(!mentions(text, "did not run"));
}

// Guards against a reason that is explained with the sentences of another one.
Test(explain, each_reason_has_its_own_sentences)
{
    const std::vector<std::pair<refusal_reason, const char*>> parts{
        {refusal_reason::limit, "fewer calls per second"},
        {refusal_reason::no_rule, "no rule for this service"},
        {refusal_reason::key_in_use, "same idempotency key came first"},
        {refusal_reason::key_missing, "again with an idempotency key"},
        {refusal_reason::quarantined, "must not send this request again"},
        {refusal_reason::deadline, "longer timeout"},
        {refusal_reason::too_large, "was too large"},
        {refusal_reason::shutting_down, "node was being shut down"}};
    refusal_record record = sample_record();
    for (const auto& [reason, part] : parts)
    {
        record.reason = reason;
        cr_expect(mentions(explain(record), part), "lacks: %s", part);
    }
}

// Guards against control characters from a caller's name that reach a terminal.
Test(explain, names_are_printable)
{
    refusal_record record = sample_record();
    record.caller = caller_name("\x1b[2Jx\xc2\x9b\xff");
    cr_expect(mentions(explain(decode_token(encode_token(record))), "\"?[2Jx??\""));
}

// Guards against a token that is too long for a header because of a caller's name.
Test(explain, long_names_are_cut)
{
    refusal_record record = sample_record();
    record.caller = caller_name(std::string(100'000, 'x'));
    const refusal_record decoded = decode_token(encode_token(record));
    cr_expect_eq(decoded.caller.get().size(), max_token_name_bytes);
}

// Guards against a row that is taken as confirmed by a sheet in which it does not stand.
Test(explain, verification_against_sheets)
{
    const refusal_record record = sample_record();
    cr_expect_eq(verify_against(record, *parse(sheet_text)), verification::confirmed);
    cr_expect_eq(
        verify_against(record, *parse(sheet_text + "rule,b,till-pricing,1,,,,,\n")),
        verification::same_row);
    std::string other = sheet_text;
    other.replace(other.find(",4,"), 3, ",5,");
    cr_expect_eq(verify_against(record, *parse(other)), verification::row_differs);
    cr_expect_eq(verify_against(refusal_record(), *parse(sheet_text)),
                 verification::no_row_in_record);
}

// Guards against damage that is not told apart, or that is taken as a record.
Test(explain, damaged_tokens)
{
    const std::string token = encode_token(sample_record());
    cr_expect_eq(fault_of(""), token_fault::not_base64url);
    cr_expect_eq(fault_of("no token!"), token_fault::not_base64url);
    cr_expect_eq(fault_of("AAAA"), token_fault::bad_checksum);
    // Cut after a whole group of four characters, so that the rest is valid base64url.
    const std::size_t groups = token.size() / 4;
    cr_expect_eq(fault_of(token.substr(0, 4 * (groups - 1))), token_fault::bad_checksum);
    cr_expect_eq(fault_of(std::string(max_token_bytes + 1, 'A')), token_fault::too_long);
}

// Guards against a damaged token that is accepted or that gives an untyped error.
Test(explain, mutated_tokens_give_typed_errors_only)
{
    constexpr unsigned seed = 411;
    std::mt19937 random(seed);
    const std::string token = encode_token(sample_record());
    const std::string alphabet = "Az09-_=+ /\n\xff";
    for (int round = 0; round < 20'000; ++round)
    {
        std::string mutant = token;
        for (unsigned edits = 1 + random() % 4; edits > 0; --edits)
        {
            mutant[random() % mutant.size()] = alphabet[random() % alphabet.size()];
        }
        if (random() % 4 == 0)
        {
            mutant.resize(random() % mutant.size());
        }
        try
        {
            cr_assert(encode_token(decode_token(mutant)) == token, "seed %u round %d",
                      seed, round);
        }
        catch (const token_error&)
        {
        }
    }
}

// Guards against JSON of another process that is converted silently or ends the process.
Test(operator_api, malformed_bodies)
{
    const std::string good = to_body(submit_request{"ana", 3, "x", "s1"});
    cr_expect_eq(parse_body<submit_request>(good).base, 3);
    cr_expect(parse_body<submit_request>(R"({"author":"a","base":0,"content":""})")
                  .submit_id.empty());
    for (const char* bad : {"", "[]", "{}", R"({"author":"a","base":-1,"content":""})",
                            R"({"author":"a","base":1.5,"content":""})",
                            R"({"author":1,"base":1,"content":""})"})
    {
        cr_expect_throw(parse_body<submit_request>(bad), codec_error);
    }
    cr_expect_throw(parse_body<members_view>(R"({"members":[3]})"), codec_error);
    cr_expect_throw(parse_body<submit_result>(R"({"status":"maybe"})"), codec_error);
    cr_expect_throw(parse_event_line("{}"), codec_error);
}

// Guards against a member that is lost on the way between node and tool.
Test(operator_api, status_round_trip)
{
    status_view status;
    status.node = "n\xff";
    status.incarnation = ~0ULL;
    status.domains = {{"north", 3, 7, true}};
    status.server.queued = 5;
    status.log.offset = 9;
    const auto read = parse_body<status_view>(to_body(status));
    cr_expect_eq(read.incarnation, ~0ULL);
    cr_assert_eq(read.domains.size(), 1);
    cr_expect_eq(read.domains[0].lowest_version, 7);
    cr_expect_eq(read.server.queued, 5);
    cr_expect_eq(read.log.offset, 9);
}
