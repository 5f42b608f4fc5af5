#include "fescueridge/state/config_state.hpp"

#include <utility>

#include "cbor_array_reader.hpp"

namespace fescueridge
{

namespace
{

enum class record_kind : std::uint8_t
{
    submit = 1,
    checkpoint = 2,
    submit_difference = 3
};

struct record_encoder
{
    detail::json operator()(const submit_record& r) const
    {
        return detail::json::array(
            {static_cast<unsigned>(record_kind::submit), detail::to_binary(r.submit_id),
             r.base.get(), detail::to_binary(r.author), detail::to_binary(r.content)});
    }

    detail::json operator()(const sheet_checkpoint_record& r) const
    {
        return detail::json::array(
            {static_cast<unsigned>(record_kind::checkpoint), r.version.get(),
             r.as_of.get(), detail::to_binary(r.content), detail::to_binary(r.author)});
    }

    detail::json operator()(const submit_difference_record& r) const
    {
        return detail::json::array({static_cast<unsigned>(record_kind::submit_difference),
                                    detail::to_binary(r.submit_id), r.base.get(),
                                    detail::to_binary(r.author),
                                    detail::to_binary(encode_difference(r.difference))});
    }
};

} // namespace

std::string encode_config_record(const config_record& record)
{
    return detail::to_cbor(std::visit(record_encoder{}, record));
}

config_record decode_config_record(const std::string& bytes)
{
    detail::cbor_array_reader in(bytes);
    const std::uint64_t kind = in.read_unsigned();
    if (kind == static_cast<unsigned>(record_kind::submit))
    {
        submit_record r;
        r.submit_id = in.read_bytes();
        r.base = sheet_version(in.read_unsigned());
        r.author = in.read_bytes();
        r.content = in.read_bytes();
        in.expect_end();
        return r;
    }
    if (kind == static_cast<unsigned>(record_kind::checkpoint))
    {
        sheet_checkpoint_record r;
        r.version = sheet_version(in.read_unsigned());
        r.as_of = log_offset(in.read_unsigned());
        r.content = in.read_bytes();
        r.author = in.at_end() ? std::string() : in.read_bytes();
        in.expect_end();
        return r;
    }
    if (kind == static_cast<unsigned>(record_kind::submit_difference))
    {
        submit_difference_record r;
        r.submit_id = in.read_bytes();
        r.base = sheet_version(in.read_unsigned());
        r.author = in.read_bytes();
        r.difference = decode_difference(in.read_bytes());
        in.expect_end();
        return r;
    }
    throw codec_error("unknown kind of config record: " + std::to_string(kind));
}

std::optional<log_offset> config_table::checkpoint_as_of(const log_record& /*raw*/,
                                                         const record_type& record)
{
    const auto* checkpoint = std::get_if<sheet_checkpoint_record>(&record);
    return checkpoint != nullptr ? std::make_optional(checkpoint->as_of) : std::nullopt;
}

void config_table::load(const record_type& record)
{
    const auto& checkpoint = std::get<sheet_checkpoint_record>(record);
    version_ = checkpoint.version;
    content_ = checkpoint.content;
    author_ = checkpoint.author;
}

void config_table::supply_content(sheet_version version, const std::string& content,
                                  const std::string& author)
{
    if (version == version_ && !has_content())
    {
        content_ = content;
        author_ = author;
        content_error_.clear();
    }
}

void config_table::apply(const log_record& raw, const record_type& record)
{
    std::visit([&](const auto& decoded) { apply_record(raw, decoded); }, record);
}

void config_table::apply_record(const log_record& /*raw*/, const submit_record& submit)
{
    if (decide_submit(submit.submit_id, submit.base, submit.author))
    {
        content_ = submit.content;
        content_error_.clear();
    }
}

void config_table::apply_record(const log_record& raw,
                                const submit_difference_record& submit)
{
    if (decide_submit(submit.submit_id, submit.base, submit.author))
    {
        difference_offsets_.push_back(raw.offset);
        apply_to_content(submit.difference);
        if (has_content())
        {
            last_step_ = sheet_step{version_, log_offset(raw.offset.get() + 1),
                                    submit.author, encode_difference(submit.difference)};
        }
    }
}

void config_table::apply_record(const log_record& /*raw*/,
                                const sheet_checkpoint_record& checkpoint)
{
    while (!difference_offsets_.empty() && difference_offsets_.front() < checkpoint.as_of)
    {
        difference_offsets_.pop_front();
    }
    supply_content(checkpoint.version, checkpoint.content, checkpoint.author);
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
        content_error_ = problem.what();
    }
    catch (const difference_result_error& problem)
    {
        content_error_ = problem.what();
    }
}

// spec/sheet.pml, label accept. A submit is decided by its base version alone. A repeated
// submit id cannot be accepted twice, because its base is not current after the first
// time. A reader that starts from a checkpoint lacks earlier ids and must make the same
// decisions.
bool config_table::decide_submit(const std::string& submit_id, sheet_version base,
                                 const std::string& author)
{
    if (base != version_)
    {
        const auto found = winners_.find(base.get() + 1);
        const winner accepted = found != winners_.end() ? found->second : winner{};
        store_decision(submit_id,
                       submit_rejected{accepted.id, accepted.author, version_});
        return false;
    }
    version_ = sheet_version(version_.get() + 1);
    author_ = author;
    last_step_.reset();
    winners_[version_.get()] = {submit_id, author};
    store_decision(submit_id, submit_accepted{version_});
    return true;
}

void config_table::store_decision(const std::string& submit_id, submit_decision decision)
{
    if (decisions_.emplace(submit_id, std::move(decision)).second)
    {
        decision_order_.push_back(submit_id);
    }
    if (decision_order_.size() > max_stored_decisions)
    {
        decisions_.erase(decision_order_.front());
        decision_order_.pop_front();
    }
    if (winners_.size() > max_stored_decisions)
    {
        winners_.erase(winners_.begin());
    }
}

submit_decision config_table::find_decision(const std::string& submit_id) const
{
    const auto found = decisions_.find(submit_id);
    return found != decisions_.end() ? found->second : submit_not_seen{};
}

} // namespace fescueridge
