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

// The options of the worker with that number: names and ports count upwards.
mango::stand_in::worker_options optionsOf(const options::variables_map &given, std::uint16_t number,
                                          mango::random_source &random)
{
    mango::stand_in::worker_options made;
    const auto base = mango::parseAddress(given["address"].as<std::string>());
    const bool several = given["count"].as<std::uint16_t>() > 1;
    made.announced.name =
            given["name"].as<std::string>() + (several ? std::to_string(number + 1) : "");
    made.announced.incarnation = mango::randomIdentifier(random);
    const auto domains = mango::splitList(given["failure-domain"].as<std::string>());
    made.announced.failureDomain = domains[number % domains.size()];
    made.announced.rack = "rack" + std::to_string(number / 8);
    made.announced.address = mango::valueOf(base);
    made.announced.address.port = static_cast<std::uint16_t>(mango::valueOf(base).port + number);
    made.listen = made.announced.address;
    if (given.count("announce-address") > 0) {
        made.announced.address =
                mango::valueOf(mango::parseAddress(given["announce-address"].as<std::string>()));
    }
    made.announced.cores = given["cores"].as<double>();
    made.announced.memoryBytes = std::uint64_t{125} << 30U;
    made.announced.slots = given["slots"].as<std::uint32_t>();
    made.announced.connections = 64;
    made.announceInterval = std::chrono::milliseconds(given["announce-ms"].as<std::uint32_t>());
    for (const std::string &entry : mango::splitList(given["entries"].as<std::string>())) {
        const auto address = mango::parseAddress(entry);
        if (!mango::failed(address)) {
            made.entries.push_back(mango::valueOf(address));
        }
    }
    return made;
}

asio::awaitable<void> awaitStop(std::vector<std::unique_ptr<mango::stand_in::worker>> &workers,
                                asio::io_context &context, std::chrono::milliseconds limit)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    for (const auto &one : workers) {
        co_await one->stop(limit);
    }
    context.stop();
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("mango_stand_in: workers for demos and tests");
    described.add_options()("help", "show this text")(
            "name", options::value<std::string>()->default_value("worker"), "name or its prefix")(
            "count", options::value<std::uint16_t>()->default_value(1), "number of workers")(
            "address", options::value<std::string>()->required(), "ip:port of the first")(
            "announce-address", options::value<std::string>(), "a relay before the worker")(
            "failure-domain", options::value<std::string>()->default_value("one"),
            "failure domains, in turn")("cores", options::value<double>()->default_value(32), "")(
            "slots", options::value<std::uint32_t>()->default_value(8),
            "")("entries", options::value<std::string>()->default_value(""),
                "where to announce: ip:port, ...")(
            "announce-ms", options::value<std::uint32_t>()->default_value(1000),
            "")("service-ms", options::value<double>()->default_value(1),
                "mean answer time")("noise-factor", options::value<double>()->default_value(0), "")(
            "checkpoint-ms", options::value<std::uint32_t>()->default_value(1000),
            "")("checkpoint-time-ms", options::value<std::uint32_t>()->default_value(20),
                "")("checkpoints", options::value<std::string>()->default_value(""), "folder")(
            "ledger", options::value<std::string>()->default_value("/dev/null"),
            "file")("drain-ms", options::value<std::uint32_t>()->default_value(0), "");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        if (given.count("help") > 0) {
            std::cout << described;
            return 0;
        }
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << "mango_stand_in: " << error.what() << "\n";
        return 2;
    }
    mango::startLogging("warn");
    asio::io_context context(1);
    mango::system_clock_source clock(context.get_executor());
    mango::seeded_random random;
    mango::metrics_registry metricsRegistry;
    mango::stand_in::ledger events(given["ledger"].as<std::string>());
    mango::stand_in::worker_behaviour behaviour;
    behaviour.serviceMs = given["service-ms"].as<double>();
    behaviour.noiseFactor = given["noise-factor"].as<double>();
    behaviour.tasks.checkpointInterval =
            std::chrono::milliseconds(given["checkpoint-ms"].as<std::uint32_t>());
    behaviour.tasks.checkpointTime =
            std::chrono::milliseconds(given["checkpoint-time-ms"].as<std::uint32_t>());
    behaviour.tasks.checkpointFolder = given["checkpoints"].as<std::string>();
    std::vector<std::unique_ptr<mango::stand_in::worker>> workers;
    for (std::uint16_t number = 0; number < given["count"].as<std::uint16_t>(); ++number) {
        workers.push_back(std::make_unique<mango::stand_in::worker>(
                context.get_executor(), clock, random, metricsRegistry, events,
                optionsOf(given, number, random), behaviour));
        const auto started = workers.back()->start();
        if (mango::failed(started)) {
            std::cerr << "mango_stand_in: " << mango::describe(mango::failureOf(started)) << "\n";
            return 2;
        }
    }
    asio::co_spawn(context,
                   awaitStop(workers, context,
                             std::chrono::milliseconds(given["drain-ms"].as<std::uint32_t>())),
                   asio::detached);
    context.run();
    std::quick_exit(0);
}
