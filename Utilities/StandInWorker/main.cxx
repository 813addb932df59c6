#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio.hpp>
#include <boost/program_options.hpp>

#include "Common/log.h"
#include "StandInWorker/stand_in_worker.h"

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;

// Options of the worker with this number, counted from 0. Names, ports, failure domains and racks
// are derived from the number.
mango::stand_in::worker_options makeWorkerOptions(const options::variables_map &arguments,
                                                  std::uint16_t number,
                                                  mango::random_source &random)
{
    mango::stand_in::worker_options workerOptions;
    const auto base = mango::parseAddress(arguments["address"].as<std::string>());
    const bool several = arguments["count"].as<std::uint16_t>() > 1;
    workerOptions.announcement.name =
            arguments["name"].as<std::string>() + (several ? std::to_string(number + 1) : "");
    workerOptions.announcement.incarnation = mango::randomIdentifier(random);
    const auto domains = mango::splitList(arguments["failure-domain"].as<std::string>());
    workerOptions.announcement.failureDomain = domains[number % domains.size()];
    workerOptions.announcement.rack = "rack" + std::to_string(number / 8);
    workerOptions.announcement.address = mango::valueOf(base);
    workerOptions.announcement.address.port =
            static_cast<std::uint16_t>(mango::valueOf(base).port + number);
    workerOptions.listen = workerOptions.announcement.address;
    if (arguments.count("announce-address") > 0) {
        workerOptions.announcement.address = mango::valueOf(
                mango::parseAddress(arguments["announce-address"].as<std::string>()));
    }
    workerOptions.announcement.cores = arguments["cores"].as<double>();
    workerOptions.announcement.memoryBytes = std::uint64_t{125} << 30U;
    workerOptions.announcement.slots = arguments["slots"].as<std::uint32_t>();
    workerOptions.announcement.connections = 64;
    workerOptions.announceInterval =
            std::chrono::milliseconds(arguments["announce-ms"].as<std::uint32_t>());
    for (const std::string &entry : mango::splitList(arguments["entries"].as<std::string>())) {
        const auto address = mango::parseAddress(entry);
        if (!mango::failed(address)) {
            workerOptions.entries.push_back(mango::valueOf(address));
        }
    }
    return workerOptions;
}

asio::awaitable<void> stopOnSignal(std::vector<std::unique_ptr<mango::stand_in::worker>> &workers,
                                   asio::io_context &context, std::chrono::milliseconds limit)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    for (const auto &worker : workers) {
        co_await worker->stop(limit);
    }
    context.stop();
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("mango_stand_in: workers for demos and tests");
    description.add_options()("help", "show this text")(
            "name", options::value<std::string>()->default_value("worker"),
            "worker name; a prefix if there are several workers")(
            "count", options::value<std::uint16_t>()->default_value(1),
            "number of workers")("address", options::value<std::string>()->required(),
                                 "ip:port of the first worker; the others use the following ports")(
            "announce-address", options::value<std::string>(),
            "ip:port to announce if a relay forwards to the worker")(
            "failure-domain", options::value<std::string>()->default_value("one"),
            "comma-separated failure domains, assigned in turn")(
            "cores", options::value<double>()->default_value(32),
            "cores of each worker")("slots", options::value<std::uint32_t>()->default_value(8),
                                    "request and task slots of each worker")(
            "entries", options::value<std::string>()->default_value(""),
            "comma-separated ip:port of the entry processes to announce to")(
            "announce-ms", options::value<std::uint32_t>()->default_value(1000),
            "interval of announcements")("service-ms", options::value<double>()->default_value(1),
                                         "mean response time")(
            "noise-factor", options::value<double>()->default_value(0),
            "slowdown of responses by batch tasks that use all cores")(
            "checkpoint-ms", options::value<std::uint32_t>()->default_value(1000),
            "progress between checkpoints; 0 disables periodic ones")(
            "checkpoint-time-ms", options::value<std::uint32_t>()->default_value(20),
            "time to save a checkpoint when a task is stopped")(
            "checkpoints", options::value<std::string>()->default_value(""),
            "folder for checkpoints")("ledger",
                                      options::value<std::string>()->default_value("/dev/null"),
                                      "file to append events to")(
            "drain-ms", options::value<std::uint32_t>()->default_value(0),
            "time to drain at a stop");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(arguments);
    } catch (const options::error &error) {
        std::cerr << "mango_stand_in: " << error.what() << "\n";
        return 2;
    }
    mango::startLogging("warn");
    asio::io_context context(1);
    mango::system_clock_source clock(context.get_executor());
    mango::seeded_random random;
    mango::metrics_registry metricsRegistry;
    mango::stand_in::ledger events(arguments["ledger"].as<std::string>());
    mango::stand_in::worker_behaviour behaviour;
    behaviour.serviceMs = arguments["service-ms"].as<double>();
    behaviour.noiseFactor = arguments["noise-factor"].as<double>();
    behaviour.tasks.checkpointInterval =
            std::chrono::milliseconds(arguments["checkpoint-ms"].as<std::uint32_t>());
    behaviour.tasks.checkpointTime =
            std::chrono::milliseconds(arguments["checkpoint-time-ms"].as<std::uint32_t>());
    behaviour.tasks.checkpointFolder = arguments["checkpoints"].as<std::string>();
    std::vector<std::unique_ptr<mango::stand_in::worker>> workers;
    for (std::uint16_t number = 0; number < arguments["count"].as<std::uint16_t>(); ++number) {
        workers.push_back(std::make_unique<mango::stand_in::worker>(
                context.get_executor(), clock, random, metricsRegistry, events,
                makeWorkerOptions(arguments, number, random), behaviour));
        const auto started = workers.back()->start();
        if (mango::failed(started)) {
            std::cerr << "mango_stand_in: " << mango::describe(mango::failureOf(started)) << "\n";
            return 2;
        }
    }
    asio::co_spawn(
            context,
            stopOnSignal(workers, context,
                         std::chrono::milliseconds(arguments["drain-ms"].as<std::uint32_t>())),
            asio::detached);
    context.run();
    std::quick_exit(0);
}
