#include "fescueridge/state/contacts_log.hpp"

#include <algorithm>
#include <map>

#include "cbor_array_reader.hpp"

namespace fescueridge
{

namespace
{

const char* const contacts_stream = "contacts";

constexpr std::uint32_t max_page_records = 256;

} // namespace

std::string encode_contacts(const std::vector<contact>& contacts)
{
    detail::json out = detail::json::array();
    for (const contact& c : contacts)
    {
        out.push_back(detail::to_binary(c.domain.get()));
        out.push_back(detail::to_binary(to_string(c.gossip)));
    }
    return detail::to_cbor(out);
}

std::vector<contact> decode_contacts(const std::string& bytes)
{
    detail::cbor_array_reader in(bytes);
    std::vector<contact> contacts;
    while (!in.at_end())
    {
        contact c;
        c.domain = domain_name(in.read_bytes());
        try
        {
            c.gossip = parse_endpoint(in.read_bytes());
        }
        catch (const address_error& problem)
        {
            throw codec_error(problem.what());
        }
        contacts.push_back(std::move(c));
    }
    return contacts;
}

void write_contacts(log_service& log, const std::vector<contact>& contacts,
                    milliseconds timeout)
{
    log.append(contacts_stream, encode_contacts(contacts), timeout);
}

std::vector<contact> read_latest_contacts(log_service& log, milliseconds timeout)
{
    std::map<domain_name, std::vector<contact>> newest_by_domain;
    log_offset from{0};
    while (true)
    {
        log_page page;
        try
        {
            page = log.read(contacts_stream, from, max_page_records, milliseconds(0),
                            timeout);
        }
        catch (const log_truncated_error& problem)
        {
            from = problem.oldest();
            continue;
        }
        for (const log_record& raw : page.records)
        {
            from = log_offset(raw.offset.get() + 1);
            std::map<domain_name, std::vector<contact>> record_contacts;
            try
            {
                for (contact& c : decode_contacts(raw.data))
                {
                    record_contacts[c.domain].push_back(std::move(c));
                }
            }
            catch (const codec_error&)
            {
                continue;
            }
            for (auto& [domain, contacts] : record_contacts)
            {
                newest_by_domain[domain] = std::move(contacts);
            }
        }
        if (page.records.empty())
        {
            break;
        }
    }
    std::vector<contact> result;
    for (const auto& [domain, contacts] : newest_by_domain)
    {
        result.insert(result.end(), contacts.begin(), contacts.end());
    }
    return result;
}

} // namespace fescueridge
