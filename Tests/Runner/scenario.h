#pragma once

#include <cstdint>
#include <string>

namespace mango::test {

// Where a scenario finds the programs and works.
struct scenario_options
{
    std::string script;
    std::string prelude;
    std::string programs;
    std::string folder;
    std::uint16_t firstPort = 20000;
    std::uint64_t seed = 1;
    // A variable that breaks a mechanism, to show that the scenario notices; empty for none.
    std::string broken;
};

// Runs one script; 0 when every expectation held and its lines are the expected ones.
int runScenario(const scenario_options &options);

} // namespace mango::test
