#pragma once

#include <memory>
#include <string>

#include "fescueridge/base/types.hpp"
#include "fescueridge/sheet/sheet.hpp"

namespace fescueridge
{

/// The sheet in force with its version and the log offset that decided it.
struct sheet_snapshot
{
    sheet_version version;
    log_offset offset;
    std::string author; ///< Empty if not known.
    std::shared_ptr<const sheet> rules;
};

/// Holds the sheet in force for readers on every call path. The version never goes down.
/// Thread safe; readers take no lock.
class sheet_holder
{
public:
    /// Returns the sheet in force, or null before the first one.
    std::shared_ptr<const sheet_snapshot> get() const;

    /// Returns the version in force; 0 before the first sheet.
    sheet_version version() const;

    /// Puts a sheet in force if its version is higher. Returns false if it is not, or if
    /// the content is not a valid sheet.
    bool adopt(sheet_version version, log_offset offset, const std::string& content,
               const std::string& author = {});

private:
    std::shared_ptr<const sheet_snapshot> current_;
};

} // namespace fescueridge
