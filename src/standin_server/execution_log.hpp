#pragma once

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

#include "fescueridge/transport/http.hpp"

namespace fescueridge::standin
{

/// Appends a JSON line for each start and end of an execution to a file. Each line is
/// flushed at once, so that it outlives a crash of the process.
class execution_log
{
public:
    /// Writes nothing when the file name is empty. Throws settings_error when the file
    /// cannot be opened.
    explicit execution_log(const std::string& file);

    /// Appends a line. `status` is started, finished, failed or cancelled.
    void append(std::uint64_t execution, const http_request& request,
                std::string_view status);

private:
    struct closer
    {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };
    std::unique_ptr<std::FILE, closer> file_;
};

/// Returns the hash of a body as 16 hexadecimal digits.
std::string body_hash(const std::string& body);

} // namespace fescueridge::standin
