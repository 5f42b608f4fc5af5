#include "fescueridge/state/config_state.hpp"

#include <utility>

#include "cbor_fields.hpp"

namespace fescueridge
{

namespace
{

enum class record_kind : std::uint8_t
{
    submit = 1,
    carry = 2,
    submit_delta = 3
};

struct encoder
{
    detail::json operator()(const submit_record& r) const
    {
        return detail::json::array(
            {static_cast<unsigned>(record_kind::submit), detail::to_binary(r.submit_id),
             r.base.get(), detail::to_binary(r.author), detail::to_binary(r.content)});
    }

    detail::json operator()(const sheet_carry_record& r) const
    {
        return detail::json::array(
            {static_cast<unsigned>(record_kind::carry), r.version.get(), r.as_of.get(),
             detail::to_binary(r.content), detail::to_binary(r.author)});
    }

    detail::json operator()(const submit_delta_record& r) const
    {
        return detail::json::array({static_cast<unsigned>(record_kind::submit_delta),
                                    detail::to_binary(r.submit_id), r.base.get(),
                                    detail::to_binary(r.author),
                                    detail::to_binary(encode_difference(r.difference))});
    }
};

} // namespace

std::string encode_config_record(const config_record& record)
{
    return detail::to_cbor(std::visit(encoder{}, record));
}

config_record decode_config_record(const std::string& bytes)
{
    detail::cbor_fields in(bytes);
    const std::uint64_t kind = in.number();
    if (kind == static_cast<unsigned>(record_kind::submit))
    {
        submit_record r;
        r.submit_id = in.text();
        r.base = sheet_version(in.number());
        r.author = in.text();
        r.content = in.text();
        in.expect_end();
        return r;
    }
    if (kind == static_cast<unsigned>(record_kind::carry))
    {
        sheet_carry_record r;
        r.version = sheet_version(in.number());
        r.as_of = log_offset(in.number());
        r.content = in.text();
        r.author = in.at_end() ? std::string() : in.text();
        in.expect_end();
        return r;
    }
    if (kind == static_cast<unsigned>(record_kind::submit_delta))
    {
        submit_delta_record r;
        r.submit_id = in.text();
        r.base = sheet_version(in.number());
        r.author = in.text();
        r.difference = decode_difference(in.text());
        in.expect_end();
        return r;
    }
    throw codec_error("unknown kind of config record: " + std::to_string(kind));
}

std::optional<log_offset> config_table::carry_as_of(const log_record& /*raw*/,
                                                    const record_type& record)
{
    const auto* carry = std::get_if<sheet_carry_record>(&record);
    return carry != nullptr ? std::make_optional(carry->as_of) : std::nullopt;
}

void config_table::load(const record_type& carry)
{
    const auto& sheet = std::get<sheet_carry_record>(carry);
    version_ = sheet.version;
    content_ = sheet.content;
    author_ = sheet.author;
}

void config_table::supply(sheet_version version, const std::string& content,
                          const std::string& author)
{
    if (version == version_ && !has_content())
    {
        content_ = content;
        author_ = author;
        problem_.clear();
    }
}

void config_table::apply(const log_record& raw, const record_type& record)
{
    std::visit([&](const auto& content) { take(raw, content); }, record);
}

void config_table::take(const log_record& /*raw*/, const submit_record& submit)
{
    if (decide(submit.submit_id, submit.base, submit.author))
    {
        content_ = submit.content;
        problem_.clear();
    }
}

void config_table::take(const log_record& raw, const submit_delta_record& submit)
{
    if (decide(submit.submit_id, submit.base, submit.author))
    {
        replayed_.push_back(raw.offset);
        apply_to_content(submit.difference);
        if (has_content())
        {
            last_step_ = sheet_step{version_, log_offset(raw.offset.get() + 1),
                                    submit.author, encode_difference(submit.difference)};
        }
    }
}

void config_table::take(const log_record& /*raw*/, const sheet_carry_record& carry)
{
    while (!replayed_.empty() && replayed_.front() < carry.as_of)
    {
        replayed_.pop_front();
    }
    supply(carry.version, carry.content, carry.author);
}

// spec/sheet.pml, label apply_difference. Every reader advances the version, since a
// submit is decided by its base version alone. A reader without the content of the base
// leaves the content of the new version unknown.
void config_table::apply_to_content(const content_difference& difference)
{
    if (!has_content())
    {
        return;
    }
    try
    {
        content_ = apply_difference(content_, difference);
    }
    catch (const difference_base_error& problem)
    {
        problem_ = problem.what();
    }
    catch (const difference_result_error& problem)
    {
        problem_ = problem.what();
    }
}

// spec/sheet.pml, label accept. A submit is decided by its base version alone. A repeated
// submit id cannot be accepted twice, because its base is not current after the first
// time. A reader that starts from a checkpoint lacks earlier ids and must make the same
// decisions.
bool config_table::decide(const std::string& submit_id, sheet_version base,
                          const std::string& author)
{
    if (base != version_)
    {
        const auto found = winners_.find(base.get() + 1);
        const winner first = found != winners_.end() ? found->second : winner{};
        keep_result(submit_id, submit_lost{first.id, first.author, version_});
        return false;
    }
    version_ = sheet_version(version_.get() + 1);
    author_ = author;
    last_step_.reset();
    winners_[version_.get()] = {submit_id, author};
    keep_result(submit_id, submit_accepted{version_});
    return true;
}

void config_table::keep_result(const std::string& submit_id, submit_decision decision)
{
    if (results_.emplace(submit_id, std::move(decision)).second)
    {
        result_order_.push_back(submit_id);
    }
    if (result_order_.size() > kept_results)
    {
        results_.erase(result_order_.front());
        result_order_.pop_front();
    }
    if (winners_.size() > kept_results)
    {
        winners_.erase(winners_.begin());
    }
}

submit_decision config_table::result(const std::string& submit_id) const
{
    const auto found = results_.find(submit_id);
    return found != results_.end() ? found->second : submit_not_seen{};
}

} // namespace fescueridge
