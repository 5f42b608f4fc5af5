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
class stream_replay
{
public:
    using record_type = typename Table::record_type;

    /// A record that add() skipped, with the decoding error.
    struct malformed_record
    {
        log_offset offset;
        std::string reason;
    };

    /// Restarts the replay at an offset. The state is then incomplete until a verified
    /// checkpoint is read, except after a restart at offset 0.
    void restart(log_offset first)
    {
        first_offset_ = first;
        next_offset_ = first;
        complete_ = first == log_offset(0);
        table_ = Table();
        buffered_records_.clear();
        record_times_.clear();
        replay_start_wall_ms_.reset();
    }

    /// Adds the next record. Records below next() are ignored; a gap in the offsets
    /// restarts the replay. Returns the reason if the record is malformed.
    std::optional<malformed_record> add(const log_record& raw)
    {
        if (raw.offset < next_offset_)
        {
            return std::nullopt;
        }
        if (raw.offset > next_offset_)
        {
            restart(raw.offset);
        }
        next_offset_ = log_offset(raw.offset.get() + 1);
        store_record_time(raw);
        try
        {
            apply_or_buffer(raw, Table::decode(raw.data));
        }
        catch (const codec_error& problem)
        {
            return malformed_record{raw.offset, problem.what()};
        }
        return std::nullopt;
    }

    /// Returns true if the state equals that of every reader of the same records.
    bool complete() const noexcept { return complete_; }

    /// Returns the offset after the last record added.
    log_offset next() const noexcept { return next_offset_; }

    const Table& table() const noexcept { return table_; }
    Table& table() noexcept { return table_; }

    /// Returns true if the record at which new readers start is older than half the
    /// retention. The wall clock affects only when a checkpoint is appended; decisions do
    /// not depend on it.
    bool needs_checkpoint(std::int64_t wall_now_ms, milliseconds retention) const
    {
        return complete_ && replay_start_wall_ms_ && retention.count() > 0 &&
               wall_now_ms - *replay_start_wall_ms_ > retention.count() / 2;
    }

private:
    // Number of recent records whose times are kept. A checkpoint advances the start of
    // the replay only if the time of the record at its `as_of` is among them.
    static constexpr std::size_t max_record_times = 1024;
    // A reader that starts in mid-stream buffers records until it reads a verified
    // checkpoint.
    static constexpr std::size_t max_buffered_records = 65'536;

    void store_record_time(const log_record& raw)
    {
        record_times_.emplace_back(raw.offset, raw.wall_ms);
        if (record_times_.size() > max_record_times)
        {
            record_times_.pop_front();
        }
        if (!replay_start_wall_ms_ && complete_)
        {
            replay_start_wall_ms_ = raw.wall_ms;
        }
    }

    std::optional<std::int64_t> find_record_time(log_offset offset) const
    {
        for (const auto& [record_offset, wall_ms] : record_times_)
        {
            if (record_offset == offset)
            {
                return wall_ms;
            }
        }
        return std::nullopt;
    }

    void apply_or_buffer(const log_record& raw, record_type&& record)
    {
        const std::optional<log_offset> as_of = Table::checkpoint_as_of(raw, record);
        if (as_of && *as_of > raw.offset)
        {
            throw codec_error(
                "checkpoint field as_of is above the offset of the checkpoint");
        }
        if (complete_)
        {
            advance_replay_start(as_of);
            table_.apply(raw, record);
            return;
        }
        buffered_records_.emplace_back(raw, std::move(record));
        // spec/sheet.pml and spec/claims.pml, label verify_carry: no record from as_of on
        // was dropped.
        if (as_of && *as_of >= first_offset_)
        {
            load_checkpoint(*as_of);
        }
        else if (buffered_records_.size() > max_buffered_records)
        {
            buffered_records_.pop_front();
            first_offset_ = buffered_records_.front().first.offset;
        }
    }

    void load_checkpoint(log_offset as_of)
    {
        const record_type checkpoint = buffered_records_.back().second;
        complete_ = true;
        table_.load(checkpoint);
        for (const auto& [raw, record] : buffered_records_)
        {
            if (raw.offset >= as_of)
            {
                replay_start_wall_ms_ = replay_start_wall_ms_.value_or(raw.wall_ms);
                table_.apply(raw, record);
            }
        }
        buffered_records_.clear();
    }

    void advance_replay_start(std::optional<log_offset> as_of)
    {
        if (!as_of)
        {
            return;
        }
        if (const auto wall_ms = find_record_time(*as_of))
        {
            replay_start_wall_ms_ = replay_start_wall_ms_
                                        ? std::max(*replay_start_wall_ms_, *wall_ms)
                                        : *wall_ms;
        }
    }

    Table table_;
    bool complete_ = true;
    log_offset first_offset_{0};
    log_offset next_offset_{0};
    std::deque<std::pair<log_record, record_type>> buffered_records_;
    std::deque<std::pair<log_offset, std::int64_t>> record_times_;
    std::optional<std::int64_t> replay_start_wall_ms_;
};

} // namespace fescueridge
