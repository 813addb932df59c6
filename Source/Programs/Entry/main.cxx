#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio.hpp>

#include "Common/program.h"
#include "Entry/caller_api.h"
#include "Storage/data_folder.h"

namespace {

namespace asio = boost::asio;

// The parts of an entry process that take part in its shutdown.
struct entry_process
{
    mango::entry_state &entry;
    mango::control_client &control;
    mango::http_server &callers;
    mango::http_server &workers;
};

// Drains and stops the process on the first SIGTERM or SIGINT, and stops it at once on the second.
asio::awaitable<void> stopOnSignal(entry_process process, asio::io_context &context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    mango::logInfo(mango::log_part::entry, "Draining.");
    signals.async_wait([&context](auto /*error*/, int /*signal*/) {
        context.stop();
    });
    process.entry.draining = true;
    process.entry.events.record("entry drains", {"", "", process.entry.settings.name, ""});
    co_await process.entry.clock.sleepFor(process.entry.settings.balancerTime);
    const bool drained = co_await process.callers.drain(process.entry.settings.drainTime);
    mango::logInfo(mango::log_part::entry,
                   drained ? "Drained: all requests have been answered."
                           : "Drain time exceeded: some requests have not been answered.");
    co_await process.control.deregister();
    co_await process.workers.drain(std::chrono::seconds(1));
    process.entry.events.record("entry stopped", {"", "", process.entry.settings.name, ""});
    context.stop();
}

int serve(const mango::entry_settings &settings)
{
    const auto lock = mango::lockDataFolder(settings.dataFolder);
    if (mango::failed(lock)) {
        return mango::settingsError("mango_entry",
                                    "[entry] data: " + mango::describe(mango::failureOf(lock)));
    }
    asio::io_context context(1);
    const auto executor = context.get_executor();
    mango::system_clock_source clock(executor);
    mango::seeded_random random;
    mango::metrics_registry metricsRegistry;
    mango::causal_clock stamps(clock);
    mango::timeline events(settings.name, settings.dataFolder + "/timeline.jsonl", stamps);
    const auto links = mango::makeTcpNetwork(executor, clock, metricsRegistry,
                                             {settings.cluster, settings.security});
    mango::entry_state entry(executor, clock, random, events, metricsRegistry, settings);
    entry.incarnation = settings.name + "-" + mango::randomIdentifier(random);
    mango::control_client control(entry, *links);
    const auto callers = mango::makeHttpServer(
            executor, clock, metricsRegistry, settings.callers, [&](mango::http_request request) {
                return mango::serveCaller(entry, control, std::move(request));
            });
    const auto workers = mango::makeHttpServer(
            executor, clock, metricsRegistry, settings.workers, [&](mango::http_request request) {
                return mango::serveWorkerRequest(entry, std::move(request));
            });
    for (mango::http_server *server : {callers.get(), workers.get()}) {
        const auto started = server->start();
        if (mango::failed(started)) {
            return mango::settingsError("mango_entry", mango::describe(mango::failureOf(started)));
        }
    }
    asio::co_spawn(context, control.runReports(), asio::detached);
    asio::co_spawn(context, stopOnSignal({entry, control, *callers, *workers}, context),
                   asio::detached);
    mango::logInfo(mango::log_part::entry, "Started.");
    context.run();
    // Suspended coroutines still refer to each other's objects, so the process exits without
    // running destructors.
    std::cout.flush();
    mango::finishLogging();
    std::quick_exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    return mango::runProgram(argc, argv, "mango_entry",
                             "accepts and dispatches requests of callers", mango::loadEntrySettings,
                             serve);
}
