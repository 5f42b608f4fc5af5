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
    carry = 2
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
        return detail::json::array({static_cast<unsigned>(record_kind::carry),
                                    r.version.get(), r.as_of.get(),
                                    detail::to_binary(r.content)});
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
}

void config_table::apply(const log_record& /*raw*/, const record_type& record)
{
    if (const auto* submit = std::get_if<submit_record>(&record))
    {
        decide(*submit);
    }
}

// spec/sheet.pml, label accept. Only the base version decides: a repeated submit id
// cannot be accepted twice, because its base is no longer current after the first time. A
// reader that starts from a carry does not know old ids and must decide alike.
void config_table::decide(const submit_record& submit)
{
    submit_decision decision;
    if (submit.base == version_)
    {
        version_ = sheet_version(version_.get() + 1);
        content_ = submit.content;
        winners_[version_.get()] = {submit.submit_id, submit.author};
        decision = submit_accepted{version_};
    }
    else
    {
        const auto found = winners_.find(submit.base.get() + 1);
        const winner first = found != winners_.end() ? found->second : winner{};
        decision = submit_lost{first.id, first.author, version_};
    }
    if (results_.emplace(submit.submit_id, std::move(decision)).second)
    {
        result_order_.push_back(submit.submit_id);
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
