#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio.hpp>

#include "Common/program.h"
#include "Control/control_server.h"

namespace {

namespace asio = boost::asio;

// Transfers the leadership and stops the process on the first SIGTERM or SIGINT, and stops it at
// once on the second.
asio::awaitable<void> stopOnSignal(mango::control_server &server, asio::io_context &context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    mango::logInfo(mango::log_part::control, "Stopping: transferring leadership.");
    signals.async_wait([&context](auto /*error*/, int /*signal*/) {
        context.stop();
    });
    co_await server.stop();
    context.stop();
}

// Starts the server. If that fails, sets the exit status and stops the context.
asio::awaitable<void> startServer(mango::control_server &server, asio::io_context &context,
                                  int &status)
{
    const auto started = co_await server.start();
    if (mango::failed(started)) {
        status = mango::settingsError("mango_control", mango::describe(mango::failureOf(started)));
        context.stop();
        co_return;
    }
    mango::logInfo(mango::log_part::control, "Started.");
}

int serve(const mango::control_settings &settings)
{
    const auto lock = mango::lockDataFolder(settings.dataFolder);
    if (mango::failed(lock)) {
        return mango::settingsError("mango_control",
                                    "[control] data: " + mango::describe(mango::failureOf(lock)));
    }
    const auto token = mango::readSecretFile(settings.tokenFile);
    asio::io_context context(1);
    mango::system_clock_source clock(context.get_executor());
    mango::seeded_random random;
    mango::metrics_registry metricsRegistry;
    mango::causal_clock stamps(clock);
    mango::timeline events(settings.name, settings.dataFolder + "/timeline.jsonl", stamps);
    const auto files = mango::makeFolderDisk(settings.dataFolder, metricsRegistry);
    const auto links = mango::makeTcpNetwork(context.get_executor(), clock, metricsRegistry,
                                             {settings.cluster, settings.security});
    mango::control_server server(context.get_executor(), clock, random, *links, *files, events,
                                 metricsRegistry, settings, mango::valueOf(token));
    int status = 0;
    asio::co_spawn(context, startServer(server, context, status), asio::detached);
    asio::co_spawn(context, stopOnSignal(server, context), asio::detached);
    context.run();
    // Suspended coroutines still refer to each other's objects, so the process exits without
    // running destructors.
    std::cout.flush();
    mango::finishLogging();
    std::quick_exit(status);
}

} // namespace

int main(int argc, char **argv)
{
    return mango::runProgram(argc, argv, "mango_control", "one replica of the control program",
                             mango::loadControlSettings, serve);
}
