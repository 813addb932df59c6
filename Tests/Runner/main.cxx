#include <filesystem>
#include <iostream>

#include <boost/program_options.hpp>
#include <unistd.h>

#include "Common/log.h"
#include "Runner/scenario.h"

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    options::options_description described("run_scenario: runs one scenario script");
    described.add_options()("help", "show this text")(
            "script", options::value<std::string>()->required(), "the script")(
            "prelude", options::value<std::string>()->required(), "run before the script")(
            "programs", options::value<std::string>()->required(), "folder of the programs")(
            "port", options::value<std::uint16_t>()->default_value(20000), "first port")(
            "seed", options::value<std::uint64_t>()->default_value(1), "seed of random()")(
            "break", options::value<std::string>()->default_value(""),
            "a mechanism to leave out, as the script names it")("keep", "keep the folder");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        if (given.count("help") > 0) {
            std::cout << described;
            return 0;
        }
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << "run_scenario: " << error.what() << "\n";
        return 2;
    }
    mango::startLogging("error");
    std::string folder = std::filesystem::temp_directory_path() / "mango-scenario-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        std::cerr << "run_scenario: no folder to work in\n";
        return 2;
    }
    mango::test::scenario_options chosen;
    chosen.script = given["script"].as<std::string>();
    chosen.prelude = given["prelude"].as<std::string>();
    chosen.programs = given["programs"].as<std::string>();
    chosen.firstPort = given["port"].as<std::uint16_t>();
    chosen.seed = given["seed"].as<std::uint64_t>();
    chosen.broken = given["break"].as<std::string>();
    chosen.folder = folder;
    const int status = mango::test::runScenario(chosen);
    if (given.count("keep") > 0) {
        std::cout << "-- kept " << folder << "\n";
    } else {
        std::filesystem::remove_all(folder);
    }
    return status;
}
