#pragma once

#include <iostream>
#include <string>

#include "Common/log.h"
#include "Common/settings.h"

namespace mango {

// The exit code for wrong settings or a wrong command line.
inline constexpr int exitSettings = 2;

// What a program's command line asked for; `ended` is set when nothing is left to do.
struct program_start
{
    bool ended = false;
    int exitCode = 0;
    std::string settingsFile;
    bool checkOnly = false;
};

// Reads --help, --settings and --check-settings.
program_start readCommandLine(int argc, char **argv, const std::string &program,
                              const std::string &purpose);

// Prints a failure as the one line of the program's output for it, and gives the exit code.
int settingsError(const std::string &program, const std::string &line);

// Runs a program that is driven by a settings file: reads the command line and the file, starts
// logging and serves. `load` reads the file into settings that have a logLevel.
template<class Load, class Serve>
int runProgram(int argc, char **argv, const std::string &program, const std::string &purpose,
               Load load, Serve serve)
{
    const program_start start = readCommandLine(argc, argv, program, purpose);
    if (start.ended) {
        return start.exitCode;
    }
    const auto settings = load(start.settingsFile);
    if (failed(settings)) {
        return settingsError(program, describe(failureOf(settings)));
    }
    if (!startLogging(valueOf(settings).logLevel)) {
        return settingsError(program, start.settingsFile + ": log_level is not a level");
    }
    if (start.checkOnly) {
        std::cout << "The settings are valid.\n";
        return 0;
    }
    return serve(valueOf(settings));
}

} // namespace mango
