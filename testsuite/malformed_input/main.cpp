#include <sys/resource.h>

#include <cstdio>
#include <exception>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "mutator.hpp"
#include "targets.hpp"

namespace
{

using namespace malformed_input;

// A length field of the input must not make a reader allocate what it names.
constexpr rlim_t memory_limit = rlim_t{1} << 30;

std::string to_hex(const std::string& bytes)
{
    std::string result;
    for (const char byte : bytes)
    {
        result += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    return result;
}

/// Reads mutated inputs; prints what was handled wrongly and returns false in that case.
bool run(const target& reader, std::uint64_t seed, std::size_t inputs)
{
    mutator source(reader.samples, reader.form, seed);
    for (const std::string& sample : reader.samples)
    {
        if (!reader.read(sample, source))
        {
            fmt::print("{}: a valid sample is refused: {}\n", reader.name,
                       to_hex(sample));
            return false;
        }
    }
    std::size_t accepted = 0;
    for (std::size_t number = 0; number < inputs; ++number)
    {
        const std::string input = source.next();
        try
        {
            accepted += reader.read(input, source) ? 1 : 0;
        }
        catch (const std::exception& problem)
        {
            fmt::print("{}: input {} of seed {}: {}\n{}\n", reader.name, number, seed,
                       problem.what(), to_hex(input));
            return false;
        }
    }
    fmt::print("{}: {} inputs, {} accepted\n", reader.name, inputs, accepted);
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app(
        "Feeds mutated input to every reader of input from outside the process.");
    std::uint64_t seed = 1;
    std::size_t inputs = 20'000;
    app.add_option("--seed", seed, "Seed of the mutations");
    app.add_option("--inputs", inputs, "Number of inputs for each reader");
    CLI11_PARSE(app, argc, argv);

    const rlimit limit{memory_limit, memory_limit};
    setrlimit(RLIMIT_AS, &limit);
    bool ok = true;
    for (const target& reader : all_targets())
    {
        ok = run(reader, seed, inputs) && ok;
        std::fflush(stdout);
    }
    return ok ? 0 : 1;
}
