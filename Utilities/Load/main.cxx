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
    options::options_description described(
            "mango_load: sends requests at their times and checks each answer\n"
            "Example: mango_load --target 127.0.0.1:8080 --path /price --rate 500 --seconds 5");
    described.add_options()("help", "show this text")(
            "target", options::value<std::string>()->required(),
            "ip:port, ...")("path", options::value<std::string>()->default_value("/"),
                            "")("method", options::value<std::string>()->default_value("GET"), "")(
            "rate", options::value<double>()->default_value(100),
            "requests a second")("seconds", options::value<double>()->default_value(5), "")(
            "timeout-ms", options::value<std::uint32_t>()->default_value(2000),
            "")("body-bytes", options::value<std::size_t>()->default_value(0),
                "")("callers", options::value<std::size_t>()->default_value(0),
                    "send the next request after the answer, by so many callers")(
            "keyed", "send an Idempotency-Key, and resend after a lost answer")(
            "balanced", "leave out targets that are not ready, as a balancer does")(
            "label", options::value<std::string>()->default_value("load"),
            "")("plot", options::value<std::string>(), "write an SVG plot to this file");
    options::variables_map given;
    mango::load::load_options load;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        if (given.count("help") > 0) {
            std::cout << described;
            return 0;
        }
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << "mango_load: " << error.what() << "\n";
        return 2;
    }
    for (const std::string &item : mango::splitList(given["target"].as<std::string>())) {
        const auto address = mango::parseAddress(item);
        if (mango::failed(address)) {
            std::cerr << "mango_load: " << mango::failureOf(address).detail << "\n";
            return 2;
        }
        load.targets.push_back(mango::valueOf(address));
    }
    load.path = given["path"].as<std::string>();
    load.method = given["method"].as<std::string>();
    load.requestsPerSecond = given["rate"].as<double>();
    load.duration = std::chrono::milliseconds(
            static_cast<std::int64_t>(given["seconds"].as<double>() * 1000));
    load.timeout = std::chrono::milliseconds(given["timeout-ms"].as<std::uint32_t>());
    load.bodyBytes = given["body-bytes"].as<std::size_t>();
    load.closedLoop = given["callers"].as<std::size_t>();
    load.balanced = given.count("balanced") > 0;
    load.keyed = given.count("keyed") > 0;
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
    const std::string label = given["label"].as<std::string>();
    std::cout << mango::load::resultLine(label, result) << "\n";
    if (given.count("plot") > 0) {
        std::ofstream(given["plot"].as<std::string>())
                << mango::load::latencyPlot({{label, result}});
    }
    return result.wrong == 0 ? 0 : 1;
}
