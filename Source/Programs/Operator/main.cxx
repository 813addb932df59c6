#include <iostream>

#include <boost/asio.hpp>
#include <boost/program_options.hpp>

#include "Control/control_settings.h"
#include "Operator/operator_client.h"

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;

int usage(const std::string &why)
{
    std::cerr << "mango_operator: " << why << "\n";
    return static_cast<int>(mango::operator_exit::usage);
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("mango_operator: reads and changes the system\nOptions");
    described.add_options()("help", "show this text")(
            "control", options::value<std::string>()->default_value("127.0.0.1:7101"),
            "administration addresses of the control processes: ip:port, ...")(
            "token-file", options::value<std::string>(), "a file with the token, mode 0600")(
            "authority", options::value<std::string>()->default_value(""),
            "the certificate to check TLS against")("json", "print JSON")(
            "words", options::value<std::vector<std::string>>()->default_value({}, ""),
            "the command");
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map given;
    try {
        options::store(options::command_line_parser(argc, argv)
                               .options(described)
                               .positional(positions)
                               .run(),
                       given);
        options::notify(given);
    } catch (const options::error &error) {
        return usage(error.what());
    }
    if (given.count("help") > 0) {
        std::cout << described << mango::operatorHelp();
        return 0;
    }
    mango::operator_options chosen;
    chosen.json = given.count("json") > 0;
    chosen.authorityFile = given["authority"].as<std::string>();
    for (const std::string &item : mango::splitList(given["control"].as<std::string>())) {
        const auto address = mango::parseAddress(item);
        if (mango::failed(address)) {
            return usage(mango::failureOf(address).detail);
        }
        chosen.control.push_back(mango::valueOf(address));
    }
    if (given.count("token-file") > 0) {
        const auto token = mango::readSecretFile(given["token-file"].as<std::string>());
        if (mango::failed(token)) {
            return usage(mango::describe(mango::failureOf(token)));
        }
        chosen.token = mango::valueOf(token);
    }
    asio::io_context context(1);
    mango::seeded_random random;
    auto exit = mango::operator_exit::done;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                exit = co_await mango::runOperatorCommand(
                        context.get_executor(), chosen, random,
                        given["words"].as<std::vector<std::string>>(), std::cout, std::cerr);
            },
            asio::detached);
    context.run();
    return static_cast<int>(exit);
}
