#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/error.hpp"
#include "fescueridge/sheet/operator_api.hpp"

namespace fescueridge
{

/// Exit codes of the tool.
enum exit_code : std::uint8_t
{
    exit_ok = 0,
    exit_fault = 1,      ///< Refused, or a fault was found.
    exit_usage = 2,      ///< Bad use, or a file that cannot be read.
    exit_unreachable = 3 ///< No node or no log answers.
};

/// The command line or a file that it names cannot be used.
class usage_error : public error
{
public:
    using error::error;
};

/// Options that every command has.
struct global_options
{
    std::vector<endpoint> nodes; ///< Operator ports.
    bool json = false;
    time_point deadline; ///< End of the whole command.
};

struct submit_options
{
    std::string file;
    std::string author;
    std::optional<std::uint64_t> base;
    bool wait = false;
};

struct timeline_options
{
    std::int64_t since_ms = 0; ///< Wall-clock time of the oldest event wanted.
    std::string name;          ///< Prefix of the event name.
    bool follow = false;
};

/// Checks a sheet without any node.
int run_check(const global_options& global, const std::string& file);

/// Submits a sheet and, if asked to, waits until it is in force everywhere.
int run_submit(const global_options& global, const submit_options& options);

/// Prints the sheet in force, or how it differs from the one in the file.
int run_show(const global_options& global, const std::string& against);

/// Explains a refusal from its token, without any node.
int run_explain(const global_options& global, const std::string& token,
                const std::string& sheet_file);

int run_status(const global_options& global);
int run_members(const global_options& global);
int run_pressure(const global_options& global);

/// Drains the backend server of the one node given.
int run_drain(const global_options& global);

/// Prints the events of all nodes in causal order.
int run_timeline(const global_options& global, const timeline_options& options);

/// Returns the content of a file. Throws usage_error.
std::string read_file(const std::string& name);

/// Joins what several nodes say about the failure domains. What a domain's own nodes say
/// about it counts before what others say; the lowest version counts.
std::vector<domain_view> join_domains(const std::vector<status_view>& views);

/// Waits until each failure domain reports at least this version and prints them.
/// Returns whether they all do at the deadline. Domains that were never seen are missing
/// when the sheet names a number of domains.
bool wait_in_force(const global_options& global, std::uint64_t version,
                   std::uint32_t expected_domains, std::vector<domain_view>& domains);

} // namespace fescueridge
