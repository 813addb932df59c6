#include "Common/program.h"

#include <boost/program_options.hpp>

namespace mango {

namespace options = boost::program_options;

int settingsError(const std::string &program, const std::string &line)
{
    std::cerr << program << ": " << line << "\n";
    return settingsErrorExitCode;
}

command_line readCommandLine(int argc, char **argv, const std::string &program,
                             const std::string &purpose)
{
    options::options_description description(program + ": " + purpose + "\nExample: " + program
                                             + " --settings file.ini");
    description.add_options()("help", "show this text")(
            "settings", options::value<std::string>()->default_value(program + ".ini"),
            "path of the settings file")("check-settings", "validate the settings file and exit");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, description), given);
        options::notify(given);
    } catch (const options::error &error) {
        return {true, settingsError(program, error.what()), "", false};
    }
    if (given.count("help") > 0) {
        std::cout << description;
        return {true, 0, "", false};
    }
    return {false, 0, given["settings"].as<std::string>(), given.count("check-settings") > 0};
}

} // namespace mango
