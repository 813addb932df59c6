#include <filesystem>
#include <iostream>

#include <boost/program_options.hpp>
#include <unistd.h>

#include "Common/log.h"
#include "Runner/scenario.h"

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    options::options_description description(
            "run_scenario: runs one scenario script and checks its output");
    description.add_options()("help", "show this help")(
            "script", options::value<std::string>()->required(), "scenario script (Lua)")(
            "prelude", options::value<std::string>()->required(),
            "Lua file to run before the script")("programs",
                                                 options::value<std::string>()->required(),
                                                 "directory of the programs under test")(
            "port", options::value<std::uint16_t>()->default_value(20000),
            "first of the 200 ports that the scenario uses")(
            "seed", options::value<std::uint64_t>()->default_value(1),
            "seed of random() in the script")(
            "break", options::value<std::string>()->default_value(""),
            "mechanism that the script is to disable, by the script's name for it")(
            "keep", "keep the working directory");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(arguments);
    } catch (const options::error &error) {
        std::cerr << "run_scenario: " << error.what() << "\n";
        return 2;
    }
    mango::startLogging("error");
    std::string folder = std::filesystem::temp_directory_path() / "mango-scenario-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        std::cerr << "run_scenario: cannot create a working directory\n";
        return 2;
    }
    mango::test::scenario_options scenario;
    scenario.script = arguments["script"].as<std::string>();
    scenario.prelude = arguments["prelude"].as<std::string>();
    scenario.programs = arguments["programs"].as<std::string>();
    scenario.firstPort = arguments["port"].as<std::uint16_t>();
    scenario.seed = arguments["seed"].as<std::uint64_t>();
    scenario.disabledMechanism = arguments["break"].as<std::string>();
    scenario.folder = folder;
    const int status = mango::test::runScenario(scenario);
    if (arguments.count("keep") > 0) {
        std::cout << "-- working directory kept: " << folder << "\n";
    } else {
        std::filesystem::remove_all(folder);
    }
    return status;
}
