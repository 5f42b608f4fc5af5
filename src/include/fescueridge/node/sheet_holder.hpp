#pragma once

#include <memory>
#include <string>

#include "fescueridge/base/types.hpp"
#include "fescueridge/sheet/sheet.hpp"

namespace fescueridge
{

/// The sheet in force, with its version and the log offset of its accepted submission.
struct sheet_snapshot
{
    sheet_version version;
    log_offset offset;
    std::string author; ///< Empty if unknown.
    std::shared_ptr<const sheet> rules;
};

/// Holds the sheet in force. The version never decreases. Thread safe; get() and
/// version() hold no mutex, because every call uses them.
class sheet_holder
{
public:
    /// Returns the sheet in force, or null before the first sheet.
    std::shared_ptr<const sheet_snapshot> get() const;

    /// Returns the version in force; 0 before the first sheet.
    sheet_version version() const;

    /// Puts a sheet in force. Returns false if its version is not higher than the current
    /// one, or if the content is not a valid sheet.
    bool adopt(sheet_version version, log_offset offset, const std::string& content,
               const std::string& author = {});

private:
    std::shared_ptr<const sheet_snapshot> current_;
};

} // namespace fescueridge
