#include <fstream>
#include <iostream>

#include <boost/asio.hpp>
#include <boost/program_options.hpp>

#include "Load/load_run.h"

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;

} // namespace

int main(int argc, char **argv)
{
    options::options_description description(
            "mango_load: sends requests at a fixed rate and checks each response\n"
            "Example: mango_load --target 127.0.0.1:8080 --path /price --rate 500 --seconds 5");
    description.add_options()("help", "show this text")("target",
                                                        options::value<std::string>()->required(),
                                                        "comma-separated ip:port of the targets")(
            "path", options::value<std::string>()->default_value("/"), "request path")(
            "method", options::value<std::string>()->default_value("GET"), "request method")(
            "rate", options::value<double>()->default_value(100), "requests per second")(
            "seconds", options::value<double>()->default_value(5), "duration of the load")(
            "timeout-ms", options::value<std::uint32_t>()->default_value(2000),
            "time-out of a request")("body-bytes", options::value<std::size_t>()->default_value(0),
                                     "size of the request body")(
            "callers", options::value<std::size_t>()->default_value(0),
            "number of closed-loop callers; replaces --rate if not 0")(
            "keyed", "send an Idempotency-Key, and resend requests that did not succeed")(
            "balanced", "skip targets that are not ready, as a load balancer does")(
            "label", options::value<std::string>()->default_value("load"), "label of the result")(
            "plot", options::value<std::string>(), "write an SVG plot to this file");
    options::variables_map arguments;
    mango::load::load_options load;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(arguments);
    } catch (const options::error &error) {
        std::cerr << "mango_load: " << error.what() << "\n";
        return 2;
    }
    for (const std::string &item : mango::splitList(arguments["target"].as<std::string>())) {
        const auto address = mango::parseAddress(item);
        if (mango::failed(address)) {
            std::cerr << "mango_load: " << mango::failureOf(address).detail << "\n";
            return 2;
        }
        load.targets.push_back(mango::valueOf(address));
    }
    load.path = arguments["path"].as<std::string>();
    load.method = arguments["method"].as<std::string>();
    load.requestsPerSecond = arguments["rate"].as<double>();
    load.duration = std::chrono::milliseconds(
            static_cast<std::int64_t>(arguments["seconds"].as<double>() * 1000));
    load.timeout = std::chrono::milliseconds(arguments["timeout-ms"].as<std::uint32_t>());
    load.bodyBytes = arguments["body-bytes"].as<std::size_t>();
    load.closedLoopCallers = arguments["callers"].as<std::size_t>();
    load.skipNotReadyTargets = arguments.count("balanced") > 0;
    load.keyed = arguments.count("keyed") > 0;
    asio::io_context context(1);
    mango::seeded_random random;
    mango::load::load_result result;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                result = co_await mango::load::runLoad(context.get_executor(), random, load);
            },
            asio::detached);
    context.run();
    const std::string label = arguments["label"].as<std::string>();
    std::cout << mango::load::formatResultLine(label, result) << "\n";
    if (arguments.count("plot") > 0) {
        std::ofstream(arguments["plot"].as<std::string>())
                << mango::load::renderLatencyPlot({{label, result}});
    }
    return result.wrong == 0 ? 0 : 1;
}
