#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "fescueridge/base/error.hpp"
#include "fescueridge/log_service/log_service.hpp"

namespace fescueridge
{

/// Replays a stream whose state is preserved beyond the log's retention by checkpoints.
/// `Table` holds the state and provides record_type, decode, checkpoint_as_of, load and
/// apply. The replay starts at offset 0, or at a checkpoint if no record from its `as_of`
/// on was dropped; other checkpoints are skipped. All readers skip the same malformed
/// records.
template <class Table>
class carried_stream
{
public:
    using record_type = typename Table::record_type;

    /// A record that add() skipped, with the decoding error.
    struct malformed
    {
        log_offset offset;
        std::string reason;
    };

    /// Restarts the replay at an offset. The state is then incomplete until a verified
    /// checkpoint is read, except after a restart at offset 0.
    void restart(log_offset first)
    {
        first_ = first;
        next_ = first;
        complete_ = first == log_offset(0);
        table_ = Table();
        waiting_.clear();
        times_.clear();
        base_wall_ms_.reset();
    }

    /// Adds the next record. Records below next() are ignored; a gap in the offsets
    /// restarts the replay. Returns the reason if the record is malformed.
    std::optional<malformed> add(const log_record& raw)
    {
        if (raw.offset < next_)
        {
            return std::nullopt;
        }
        if (raw.offset > next_)
        {
            restart(raw.offset);
        }
        next_ = log_offset(raw.offset.get() + 1);
        note_time(raw);
        try
        {
            take(raw, Table::decode(raw.data));
        }
        catch (const codec_error& problem)
        {
            return malformed{raw.offset, problem.what()};
        }
        return std::nullopt;
    }

    /// Returns true if the state equals that of every reader of the same records.
    bool complete() const noexcept { return complete_; }

    /// Returns the offset after the last record added.
    log_offset next() const noexcept { return next_; }

    const Table& table() const noexcept { return table_; }
    Table& table() noexcept { return table_; }

    /// Returns true if the record at which new readers start is older than half the
    /// retention. The wall clock affects only when a checkpoint is appended; decisions do
    /// not depend on it.
    bool needs_carry(std::int64_t wall_now_ms, milliseconds retention) const
    {
        return complete_ && base_wall_ms_ && retention.count() > 0 &&
               wall_now_ms - *base_wall_ms_ > retention.count() / 2;
    }

private:
    // Number of recent records whose times are kept. A checkpoint advances the start of
    // the replay only if the time of the record at its `as_of` is among them.
    static constexpr std::size_t kept_times = 1024;
    // A reader that starts in mid-stream buffers records until it reads a verified
    // checkpoint.
    static constexpr std::size_t max_waiting = 65'536;

    void note_time(const log_record& raw)
    {
        times_.emplace_back(raw.offset, raw.wall_ms);
        if (times_.size() > kept_times)
        {
            times_.pop_front();
        }
        if (!base_wall_ms_ && complete_)
        {
            base_wall_ms_ = raw.wall_ms;
        }
    }

    std::optional<std::int64_t> time_at(log_offset offset) const
    {
        for (const auto& [known, wall_ms] : times_)
        {
            if (known == offset)
            {
                return wall_ms;
            }
        }
        return std::nullopt;
    }

    void take(const log_record& raw, record_type&& record)
    {
        const std::optional<log_offset> as_of = Table::carry_as_of(raw, record);
        if (as_of && *as_of > raw.offset)
        {
            throw codec_error(
                "checkpoint field as_of is above the offset of the checkpoint");
        }
        if (complete_)
        {
            refresh_base(as_of);
            table_.apply(raw, record);
            return;
        }
        waiting_.emplace_back(raw, std::move(record));
        // spec/sheet.pml and spec/claims.pml, label verify_carry: no record from as_of on
        // was dropped.
        if (as_of && *as_of >= first_)
        {
            start_from(*as_of);
        }
        else if (waiting_.size() > max_waiting)
        {
            waiting_.pop_front();
            first_ = waiting_.front().first.offset;
        }
    }

    void start_from(log_offset as_of)
    {
        const record_type carry = waiting_.back().second;
        complete_ = true;
        table_.load(carry);
        for (const auto& [raw, record] : waiting_)
        {
            if (raw.offset >= as_of)
            {
                base_wall_ms_ = base_wall_ms_.value_or(raw.wall_ms);
                table_.apply(raw, record);
            }
        }
        waiting_.clear();
    }

    void refresh_base(std::optional<log_offset> as_of)
    {
        if (!as_of)
        {
            return;
        }
        if (const auto wall_ms = time_at(*as_of))
        {
            base_wall_ms_ = base_wall_ms_ ? std::max(*base_wall_ms_, *wall_ms) : *wall_ms;
        }
    }

    Table table_;
    bool complete_ = true;
    log_offset first_{0};
    log_offset next_{0};
    std::deque<std::pair<log_record, record_type>> waiting_;
    std::deque<std::pair<log_offset, std::int64_t>> times_;
    std::optional<std::int64_t> base_wall_ms_;
};

} // namespace fescueridge
