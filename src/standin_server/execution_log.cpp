#include "execution_log.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/error.hpp"
#include "fescueridge/base/random.hpp"

namespace fescueridge::standin
{
namespace
{

std::string header_or_empty(const http_request& request, std::string_view name)
{
    const auto* value = find_header(request.headers, name);
    return value ? *value : std::string();
}

} // namespace

execution_log::execution_log(const std::string& file)
{
    if (file.empty())
        return;
    file_.reset(std::fopen(file.c_str(), "a"));
    if (!file_)
        throw settings_error(file, "--record", "cannot open the file for appending");
}

void execution_log::append(std::uint64_t execution, const http_request& request,
                           std::string_view status)
{
    if (!file_)
        return;
    const nlohmann::json line = {{"time_ms", clock::now().time_since_epoch().count()},
                                 {"execution", execution},
                                 {"status", status},
                                 {"root", header_or_empty(request, "Fescue-Root")},
                                 {"context", header_or_empty(request, "Fescue-Context")},
                                 {"path", request.target},
                                 {"body_hash", body_hash(request.body)},
                                 {"key", header_or_empty(request, "Idempotency-Key")}};
    const auto text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    std::fwrite(text.data(), 1, text.size(), file_.get());
    std::fflush(file_.get());
}

std::string body_hash(const std::string& body)
{
    return fmt::format("{:016x}", stable_hash(body));
}

} // namespace fescueridge::standin
