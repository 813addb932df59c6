#pragma once

#include <iostream>
#include <string>

#include "Common/log.h"
#include "Common/settings.h"

namespace mango {

// The exit code for invalid settings or an invalid command line.
inline constexpr int settingsErrorExitCode = 2;

// The parsed command line. If `exits` is set, the program exits with `exitCode` at once, after
// --help or an invalid option.
struct command_line
{
    bool exits = false;
    int exitCode = 0;
    std::string settingsFile;
    bool checkOnly = false;
};

// Parses --help, --settings and --check-settings. Prints the help or the error itself.
command_line readCommandLine(int argc, char **argv, const std::string &program,
                             const std::string &purpose);

// Prints an error as one line on standard error and returns the exit code for it.
int settingsError(const std::string &program, const std::string &line);

// Implements main() of a program with a settings file: reads the command line and the settings,
// starts logging and calls `serve` with the settings. `load` returns the settings of a file, which
// must have a member logLevel, or a settings_failure. Returns the exit code of the program.
template<class Load, class Serve>
int runProgram(int argc, char **argv, const std::string &program, const std::string &purpose,
               Load load, Serve serve)
{
    const command_line commandLine = readCommandLine(argc, argv, program, purpose);
    if (commandLine.exits) {
        return commandLine.exitCode;
    }
    const auto settings = load(commandLine.settingsFile);
    if (failed(settings)) {
        return settingsError(program, describe(failureOf(settings)));
    }
    if (!startLogging(valueOf(settings).logLevel)) {
        return settingsError(program, commandLine.settingsFile
                                              + ": log_level must be debug, info, warn or error");
    }
    if (commandLine.checkOnly) {
        std::cout << "The settings are valid.\n";
        return 0;
    }
    return serve(valueOf(settings));
}

} // namespace mango
