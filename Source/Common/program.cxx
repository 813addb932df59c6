#include "Common/program.h"

#include <boost/program_options.hpp>

namespace mango {

namespace options = boost::program_options;

int settingsError(const std::string &program, const std::string &line)
{
    std::cerr << program << ": " << line << "\n";
    return exitSettings;
}

program_start readCommandLine(int argc, char **argv, const std::string &program,
                              const std::string &purpose)
{
    options::options_description described(program + ": " + purpose + "\nExample: " + program
                                           + " --settings file.ini");
    described.add_options()("help", "show this text")(
            "settings", options::value<std::string>()->default_value(program + ".ini"),
            "the settings file")("check-settings", "check the settings file and exit");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error &error) {
        return {true, settingsError(program, error.what()), "", false};
    }
    if (given.count("help") > 0) {
        std::cout << described;
        return {true, 0, "", false};
    }
    return {false, 0, given["settings"].as<std::string>(), given.count("check-settings") > 0};
}

} // namespace mango
