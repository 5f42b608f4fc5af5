#include "fescueridge/base/error_line.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescueridge
{

void print_error_line(const std::string& event, const std::string& file,
                      const std::string& key, const std::string& text)
{
    const nlohmann::ordered_json line{
        {"event", event}, {"file", file}, {"key", key}, {"text", text}};
    fmt::print(stderr, "{}\n",
               line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace fescueridge
