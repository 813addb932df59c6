#include <iostream>

#include <boost/asio.hpp>
#include <boost/program_options.hpp>

#include "Control/control_settings.h"
#include "Operator/operator_client.h"

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;

// Prints a usage error and returns its exit code.
int usageError(const std::string &detail)
{
    std::cerr << "mango_operator: " << detail << "\n";
    return static_cast<int>(mango::operator_exit::usage);
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description(
            "mango_operator: shows and changes the state of the cluster\nOptions");
    description.add_options()("help", "show this text")(
            "control", options::value<std::string>()->default_value("127.0.0.1:7101"),
            "administration addresses of the control processes: ip:port, ...")(
            "token-file", options::value<std::string>(), "file with the bearer token, mode 0600")(
            "authority", options::value<std::string>()->default_value(""),
            "certificate to verify the control processes against; enables TLS")(
            "json", "print responses as JSON")(
            "words", options::value<std::vector<std::string>>()->default_value({}, ""),
            "command and its arguments");
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv)
                               .options(description)
                               .positional(positional)
                               .run(),
                       values);
        options::notify(values);
    } catch (const options::error &error) {
        return usageError(error.what());
    }
    if (values.count("help") > 0) {
        std::cout << description << mango::operatorHelp();
        return 0;
    }
    mango::operator_options operatorOptions;
    operatorOptions.json = values.count("json") > 0;
    operatorOptions.certificateAuthorityFile = values["authority"].as<std::string>();
    for (const std::string &item : mango::splitList(values["control"].as<std::string>())) {
        const auto address = mango::parseAddress(item);
        if (mango::failed(address)) {
            return usageError(mango::failureOf(address).detail);
        }
        operatorOptions.control.push_back(mango::valueOf(address));
    }
    if (values.count("token-file") > 0) {
        const auto token = mango::readSecretFile(values["token-file"].as<std::string>());
        if (mango::failed(token)) {
            return usageError(mango::describe(mango::failureOf(token)));
        }
        operatorOptions.token = mango::valueOf(token);
    }
    asio::io_context context(1);
    mango::seeded_random random;
    auto exit = mango::operator_exit::done;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                exit = co_await mango::runOperatorCommand(
                        context.get_executor(), operatorOptions, random,
                        values["words"].as<std::vector<std::string>>(), std::cout, std::cerr);
            },
            asio::detached);
    context.run();
    return static_cast<int>(exit);
}
