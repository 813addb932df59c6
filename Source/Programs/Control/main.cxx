#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio.hpp>
#include <boost/program_options.hpp>

#include "Common/log.h"
#include "Control/control_server.h"

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;

constexpr int exitSettings = 2;

// Ends on the first SIGTERM or SIGINT after handing over, on the second at once.
asio::awaitable<void> awaitStop(mango::control_server &server, asio::io_context &context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    mango::logInfo(mango::log_part::control, "Stops, and hands leadership over.");
    signals.async_wait([&context](auto /*error*/, int /*signal*/) {
        context.stop();
    });
    co_await server.stop();
    context.stop();
}

asio::awaitable<void> startServer(mango::control_server &server, asio::io_context &context,
                                  int &status)
{
    const auto started = co_await server.start();
    if (mango::failed(started)) {
        std::cerr << "mango_control: " << mango::describe(mango::failureOf(started)) << "\n";
        status = exitSettings;
        context.stop();
        co_return;
    }
    mango::logInfo(mango::log_part::control, "Started.");
}

int serve(const mango::control_settings &settings)
{
    const auto lock = mango::lockDataFolder(settings.dataFolder);
    if (mango::failed(lock)) {
        std::cerr << "mango_control: [control] data: " << mango::describe(mango::failureOf(lock))
                  << "\n";
        return exitSettings;
    }
    const auto token = mango::readSecretFile(settings.tokenFile);
    asio::io_context context(1);
    mango::system_clock_source clock(context.get_executor());
    mango::seeded_random random;
    mango::counters counted;
    mango::causal_clock stamps(clock);
    mango::timeline events(settings.name, settings.dataFolder + "/timeline.jsonl", stamps);
    const auto files = mango::makeFolderDisk(settings.dataFolder, counted);
    const auto links = mango::makeTcpNetwork(context.get_executor(), clock, counted,
                                             {settings.cluster, settings.security});
    mango::control_server server(context.get_executor(), clock, random, *links, *files, events,
                                 counted, settings, mango::valueOf(token));
    int status = 0;
    asio::co_spawn(context, startServer(server, context, status), asio::detached);
    asio::co_spawn(context, awaitStop(server, context), asio::detached);
    context.run();
    // Coroutines that still wait refer to each other's objects; the process ends with all of them.
    std::cout.flush();
    std::quick_exit(status);
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("mango_control: one replica of the control program\n"
                                           "Example: mango_control --settings control.ini\n");
    described.add_options()("help", "show this text")(
            "settings", options::value<std::string>()->default_value("control.ini"),
            "the settings file")("check-settings", "check the settings file and exit");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << "mango_control: " << error.what() << "\n";
        return exitSettings;
    }
    if (given.count("help") > 0) {
        std::cout << described;
        return 0;
    }
    const auto settings = mango::loadControlSettings(given["settings"].as<std::string>());
    if (mango::failed(settings) || !mango::startLogging(mango::valueOf(settings).logLevel)) {
        std::cerr << "mango_control: "
                  << (mango::failed(settings) ? mango::describe(mango::failureOf(settings))
                                              : "[control] log_level: not a level")
                  << "\n";
        return exitSettings;
    }
    if (given.count("check-settings") > 0) {
        std::cout << "The settings are valid.\n";
        return 0;
    }
    return serve(mango::valueOf(settings));
}
