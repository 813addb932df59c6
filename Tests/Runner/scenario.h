#pragma once

#include <cstdint>
#include <string>

namespace mango::test {

// What a scenario runs, and where.
struct scenario_options
{
    std::string script;
    std::string prelude;
    // Directory of the programs under test.
    std::string programs;
    // Existing working directory for settings, data and logs.
    std::string folder;
    std::uint16_t firstPort = 20000;
    std::uint64_t seed = 1;
    // Given to the script as `broken`: a mechanism that it is to disable, to show that its checks
    // notice; empty for none.
    std::string disabledMechanism;
};

// Runs the prelude and the script. Returns 0 if every check passed and the printed lines equal
// those of the .expected file beside the script; otherwise prints the timeline and returns 1.
int runScenario(const scenario_options &options);

} // namespace mango::test
