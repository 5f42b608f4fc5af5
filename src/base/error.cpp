#include "fescueridge/base/error.hpp"

namespace fescueridge
{

settings_error::settings_error(const std::string& file, const std::string& key,
                               const std::string& reason)
    : error(key.empty() ? file + ": " + reason
                        : file + ": key \"" + key + "\": " + reason),
      key_(key)
{
}

} // namespace fescueridge
