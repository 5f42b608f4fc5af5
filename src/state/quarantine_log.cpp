#include "fescueridge/state/quarantine_log.hpp"

#include <utility>

namespace fescueridge
{

namespace
{

constexpr const char* quarantine_stream = "quarantine";

follow_options with_quarantine_stream(follow_options options)
{
    options.stream = quarantine_stream;
    return options;
}

} // namespace

quarantine_follower::quarantine_follower(log_service& log, follow_options options,
                                         handler on_record,
                                         std::function<void(const error&)> fault)
    : log_(log), on_record_(std::move(on_record)), on_fault_(std::move(fault)),
      follower_(log, with_quarantine_stream(std::move(options)),
                {[this](const log_page& page) { on_page(page); }, [](log_offset) {},
                 [this](const error& problem)
                 {
                     report_fault(problem);
                 }})
{
}

void quarantine_follower::on_page(const log_page& page)
{
    for (const log_record& raw : page.records)
    {
        try
        {
            on_record_(decode_quarantine_record(raw.data));
        }
        catch (const codec_error& problem)
        {
            report_fault(problem);
        }
    }
}

void quarantine_follower::report_fault(const error& problem) const
{
    if (on_fault_)
    {
        on_fault_(problem);
    }
}

void quarantine_follower::append(const quarantine_record& record, milliseconds timeout)
{
    log_.append(quarantine_stream, encode_quarantine_record(record), timeout);
}

} // namespace fescueridge
