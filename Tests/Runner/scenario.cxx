#include "Runner/scenario.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/asio.hpp>
#include <lua.hpp>

#include "Common/random_source.h"
#include "Http/http_client.h"
#include "Runner/child_processes.h"
#include "Runner/ledger_checks.h"
#include "Runner/link_relay.h"
#include "Timeline/timeline_view.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;

// State shared by the Lua functions of one scenario.
struct scenario_state
{
    explicit scenario_state(const scenario_options &givenOptions)
        : options(givenOptions)
        , random(givenOptions.seed)
    {}

    const scenario_options &options;
    child_processes processes;
    link_relays relays;
    seeded_random random;
    std::string output;
};

scenario_state &stateOf(lua_State *lua)
{
    return **static_cast<scenario_state **>(lua_getextraspace(lua));
}

std::string stringArgument(lua_State *lua, int index)
{
    std::size_t length = 0;
    const char *text = luaL_checklstring(lua, index, &length);
    return {text, length};
}

std::vector<std::string> listArgument(lua_State *lua, int index)
{
    std::vector<std::string> list;
    luaL_checktype(lua, index, LUA_TTABLE);
    for (lua_Integer number = 1; number <= static_cast<lua_Integer>(lua_rawlen(lua, index));
         ++number) {
        lua_rawgeti(lua, index, number);
        list.push_back(stringArgument(lua, -1));
        lua_pop(lua, 1);
    }
    return list;
}

void pushList(lua_State *lua, const std::vector<std::string> &list)
{
    lua_newtable(lua);
    for (std::size_t number = 0; number < list.size(); ++number) {
        lua_pushlstring(lua, list[number].data(), list[number].size());
        lua_rawseti(lua, -2, static_cast<lua_Integer>(number) + 1);
    }
}

// start(name, {program, argument, ...}) returns whether the program could be started.
int startProcess(lua_State *lua)
{
    scenario_state &state = stateOf(lua);
    auto arguments = listArgument(lua, 2);
    arguments[0] = state.options.programs + "/" + arguments[0];
    const std::string name = stringArgument(lua, 1);
    lua_pushboolean(lua, state.processes.start(name, arguments,
                                               state.options.folder + "/" + name + ".log"));
    return 1;
}

// send_signal(name, "KILL" | "TERM" | "STOP" | "CONT") returns whether it was sent.
int sendSignal(lua_State *lua)
{
    lua_pushboolean(
            lua, stateOf(lua).processes.sendSignal(stringArgument(lua, 1), stringArgument(lua, 2)));
    return 1;
}

// wait_for_exit(name, milliseconds) returns the exit code (negative: the signal), or nil if the
// process still runs.
int waitForExit(lua_State *lua)
{
    const auto code = stateOf(lua).processes.waitForExit(
            stringArgument(lua, 1), std::chrono::milliseconds(luaL_checkinteger(lua, 2)));
    if (code) {
        lua_pushinteger(lua, *code);
    } else {
        lua_pushnil(lua);
    }
    return 1;
}

// sleep(milliseconds)
int sleepFor(lua_State *lua)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(luaL_checkinteger(lua, 1)));
    return 0;
}

// now() returns the wall time in microseconds since 1970, as in the ledgers.
int now(lua_State *lua)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
    return 1;
}

// http_request(address, method, target, headers, body, timeout in milliseconds) returns status,
// body and headers; or nil and an error message.
int httpRequest(lua_State *lua)
{
    const auto address = parseAddress(stringArgument(lua, 1));
    http_request request{stringArgument(lua, 2), stringArgument(lua, 3), {}, "", {}};
    if (lua_istable(lua, 4)) {
        lua_pushnil(lua);
        while (lua_next(lua, 4) != 0) {
            request.headers.emplace_back(stringArgument(lua, -2), stringArgument(lua, -1));
            lua_pop(lua, 1);
        }
    }
    request.body = luaL_optstring(lua, 5, "");
    const auto timeout = std::chrono::milliseconds(luaL_optinteger(lua, 6, 3000));
    asio::io_context context(1);
    std::optional<result<http_response, http_failure>> outcome;
    const auto client =
            makeHttpClient(context.get_executor(), {valueOf(address), "", 16ULL << 20U});
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                outcome = co_await client->exchange(request, timeout);
            },
            asio::detached);
    context.run();
    if (failed(*outcome)) {
        lua_pushnil(lua);
        lua_pushstring(lua, describe(failureOf(*outcome)).c_str());
        return 2;
    }
    const http_response &response = valueOf(*outcome);
    lua_pushinteger(lua, response.status);
    lua_pushlstring(lua, response.body.data(), response.body.size());
    lua_newtable(lua);
    for (const auto &[name, value] : response.headers) {
        lua_pushstring(lua, value.c_str());
        lua_setfield(lua, -2, name.c_str());
    }
    return 3;
}

// send_raw(address, bytes, milliseconds) sends the bytes unchanged and returns all bytes received
// within the time.
int sendRaw(lua_State *lua)
{
    const auto address = valueOf(parseAddress(stringArgument(lua, 1)));
    const std::string bytes = stringArgument(lua, 2);
    asio::io_context context(1);
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(address.ip), address.port}, error);
    asio::write(socket, asio::buffer(bytes), error);
    std::string received;
    std::array<char, 4096> buffer{};
    std::function<void()> readMore = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](auto failure, std::size_t count) {
            received.append(buffer.data(), count);
            if (!failure) {
                readMore();
            }
        });
    };
    readMore();
    context.run_for(std::chrono::milliseconds(luaL_checkinteger(lua, 3)));
    lua_pushlstring(lua, received.data(), received.size());
    return 1;
}

// write_file(path, content) creates missing directories; only the owner may read the file.
int writeFile(lua_State *lua)
{
    const std::string path = stringArgument(lua, 1);
    std::filesystem::create_directories(std::filesystem::path(path).parent_path());
    std::ofstream(path, std::ios::binary) << stringArgument(lua, 2);
    std::filesystem::permissions(path, std::filesystem::perms(0600));
    return 0;
}

// append_file(path, content)
int appendFile(lua_State *lua)
{
    std::ofstream(stringArgument(lua, 1), std::ios::binary | std::ios::app)
            << stringArgument(lua, 2);
    return 0;
}

// read_file(path) returns the content, empty if the file does not exist.
int readFile(lua_State *lua)
{
    std::ifstream input(stringArgument(lua, 1), std::ios::binary);
    std::ostringstream content;
    content << input.rdbuf();
    const std::string bytes = content.str();
    lua_pushlstring(lua, bytes.data(), bytes.size());
    return 1;
}

// remove_tree(path)
int removeTree(lua_State *lua)
{
    std::error_code ignored;
    std::filesystem::remove_all(stringArgument(lua, 1), ignored);
    return 0;
}

// files(directory) returns the names of its entries.
int listFiles(lua_State *lua)
{
    std::vector<std::string> names;
    std::error_code ignored;
    for (const auto &item : std::filesystem::directory_iterator(stringArgument(lua, 1), ignored)) {
        names.push_back(item.path().filename().string());
    }
    pushList(lua, names);
    return 1;
}

// add_relay(name, listen address, target address) returns whether the relay could be started.
int addRelay(lua_State *lua)
{
    const bool added = stateOf(lua).relays.add(stringArgument(lua, 1),
                                               valueOf(parseAddress(stringArgument(lua, 2))),
                                               valueOf(parseAddress(stringArgument(lua, 3))));
    lua_pushboolean(lua, added);
    return 1;
}

// set_link_mode(name, "pass" | "silent" | "refuse" | "forget"); "forget" blocks just the
// connections that are open now.
int setLinkMode(lua_State *lua)
{
    const std::string mode = stringArgument(lua, 2);
    link_relays &relays = stateOf(lua).relays;
    if (mode == "forget") {
        relays.blockOpenConnections(stringArgument(lua, 1));
    } else {
        relays.setMode(stringArgument(lua, 1), mode == "silent"   ? link_mode::block
                                               : mode == "refuse" ? link_mode::refuse
                                                                  : link_mode::forward);
    }
    return 0;
}

// print_line(text) prints a line that the .expected file must hold.
int printLine(lua_State *lua)
{
    const std::string line = stringArgument(lua, 1) + "\n";
    stateOf(lua).output += line;
    std::cout << line << std::flush;
    return 0;
}

// random(bound) returns an integer from 0 to bound - 1, drawn with the seed of the scenario.
int randomBelow(lua_State *lua)
{
    const auto bound = static_cast<std::uint64_t>(luaL_checkinteger(lua, 1));
    lua_pushinteger(lua, static_cast<lua_Integer>(stateOf(lua).random.below(bound)));
    return 1;
}

// find_violations({ledger, ...}) returns a line for each violated invariant.
int findViolations(lua_State *lua)
{
    const auto events = readLedgers(listArgument(lua, 1));
    std::vector<std::string> found = findCapacityViolations(events);
    for (const auto &more : {findConcurrentRuns(events), findDuplicateExecutions(events)}) {
        found.insert(found.end(), more.begin(), more.end());
    }
    pushList(lua, found);
    return 1;
}

// count_events({ledger, ...}, event prefix, worker prefix, from, to), times in microseconds
int countLedgerEvents(lua_State *lua)
{
    const auto events = readLedgers(listArgument(lua, 1));
    lua_pushinteger(lua, static_cast<lua_Integer>(countEvents(
                                 events, stringArgument(lua, 2), stringArgument(lua, 3),
                                 luaL_checkinteger(lua, 4), luaL_checkinteger(lua, 5))));
    return 1;
}

// process_usage(name) returns the processor time in milliseconds and the resident memory in kB of a
// process; 0 and 0 if it does not run. Assumes 100 clock ticks per second and pages of 4 kB.
int processUsage(lua_State *lua)
{
    const std::string pid = std::to_string(stateOf(lua).processes.pidOf(stringArgument(lua, 1)));
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
    std::vector<std::string> values;
    for (std::string value; fields >> value;) {
        values.push_back(value);
    }
    const bool complete = values.size() > 21;
    lua_pushinteger(lua, complete ? (std::stol(values[11]) + std::stol(values[12])) * 10 : 0);
    lua_pushinteger(lua, complete ? std::stol(values[21]) * 4 : 0);
    return 2;
}

void printTimeline(const std::string &folder)
{
    std::vector<timeline_event> events;
    std::size_t skipped = 0;
    std::error_code ignored;
    for (const auto &item : std::filesystem::recursive_directory_iterator(folder, ignored)) {
        if (item.path().filename() != "timeline.jsonl") {
            continue;
        }
        const auto read = readTimeline(item.path().string(), skipped);
        if (!failed(read)) {
            events.insert(events.end(), valueOf(read).begin(), valueOf(read).end());
        }
    }
    std::cout << "-- timeline\n" << formatTimeline(filterAndSortEvents(std::move(events), {}));
}

void registerFunctions(lua_State *lua)
{
    static constexpr luaL_Reg functions[] = {{"start", startProcess},
                                             {"send_signal", sendSignal},
                                             {"wait_for_exit", waitForExit},
                                             {"sleep", sleepFor},
                                             {"now", now},
                                             {"http_request", httpRequest},
                                             {"send_raw", sendRaw},
                                             {"write_file", writeFile},
                                             {"read_file", readFile},
                                             {"append_file", appendFile},
                                             {"remove_tree", removeTree},
                                             {"files", listFiles},
                                             {"add_relay", addRelay},
                                             {"set_link_mode", setLinkMode},
                                             {"print_line", printLine},
                                             {"random", randomBelow},
                                             {"find_violations", findViolations},
                                             {"count_events", countLedgerEvents},
                                             {"process_usage", processUsage}};
    for (const luaL_Reg &function : functions) {
        lua_register(lua, function.name, function.func);
    }
}

bool matchesExpectedOutput(const scenario_options &options, const std::string &output)
{
    const std::string path = std::filesystem::path(options.script).replace_extension("expected");
    std::ifstream input(path);
    std::ostringstream expected;
    expected << input.rdbuf();
    if (output == expected.str()) {
        return true;
    }
    std::cout << "-- the output differs from " << std::filesystem::path(path).filename().string()
              << ":\n"
              << expected.str();
    return false;
}

} // namespace

int runScenario(const scenario_options &options)
{
    std::cout << "seed " << options.seed << "\n";
    scenario_state state(options);
    lua_State *lua = luaL_newstate();
    luaL_openlibs(lua);
    *static_cast<scenario_state **>(lua_getextraspace(lua)) = &state;
    registerFunctions(lua);
    lua_pushstring(lua, options.folder.c_str());
    lua_setglobal(lua, "folder");
    lua_pushinteger(lua, options.firstPort);
    lua_setglobal(lua, "first_port");
    lua_pushstring(lua, options.disabledMechanism.c_str());
    lua_setglobal(lua, "broken");
    bool passed = true;
    for (const std::string &file : {options.prelude, options.script}) {
        if (luaL_dofile(lua, file.c_str()) != LUA_OK) {
            std::cout << "-- FAILED: " << lua_tostring(lua, -1) << "\n";
            passed = false;
            break;
        }
    }
    lua_close(lua);
    passed = passed && matchesExpectedOutput(options, state.output);
    if (!passed) {
        printTimeline(options.folder);
    }
    return passed ? 0 : 1;
}

} // namespace mango::test
