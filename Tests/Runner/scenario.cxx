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

// What the functions of a script work on.
struct scenario_state
{
    explicit scenario_state(const scenario_options &given)
        : options(given)
        , random(given.seed)
    {}

    const scenario_options &options;
    child_processes processes;
    link_relays relays;
    seeded_random random;
    std::string said;
};

scenario_state &stateOf(lua_State *lua)
{
    return **static_cast<scenario_state **>(lua_getextraspace(lua));
}

std::string textAt(lua_State *lua, int place)
{
    std::size_t length = 0;
    const char *text = luaL_checklstring(lua, place, &length);
    return {text, length};
}

std::vector<std::string> listAt(lua_State *lua, int place)
{
    std::vector<std::string> list;
    luaL_checktype(lua, place, LUA_TTABLE);
    for (lua_Integer number = 1; number <= static_cast<lua_Integer>(lua_rawlen(lua, place));
         ++number) {
        lua_rawgeti(lua, place, number);
        list.push_back(textAt(lua, -1));
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

// start(name, {program, argument, ...})
int start(lua_State *lua)
{
    scenario_state &state = stateOf(lua);
    auto arguments = listAt(lua, 2);
    arguments[0] = state.options.programs + "/" + arguments[0];
    const std::string name = textAt(lua, 1);
    lua_pushboolean(lua, state.processes.start(name, arguments,
                                               state.options.folder + "/" + name + ".log"));
    return 1;
}

// signal(name, "KILL" | "TERM" | "STOP" | "CONT")
int sendSignal(lua_State *lua)
{
    lua_pushboolean(lua, stateOf(lua).processes.signal(textAt(lua, 1), textAt(lua, 2)));
    return 1;
}

// wait(name, milliseconds) gives the exit code, or nil when it still runs.
int awaitExit(lua_State *lua)
{
    const auto code = stateOf(lua).processes.wait(
            textAt(lua, 1), std::chrono::milliseconds(luaL_checkinteger(lua, 2)));
    if (code) {
        lua_pushinteger(lua, *code);
    } else {
        lua_pushnil(lua);
    }
    return 1;
}

int sleepFor(lua_State *lua)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(luaL_checkinteger(lua, 1)));
    return 0;
}

// now() in microseconds of wall time, as the ledgers have it.
int now(lua_State *lua)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
    return 1;
}

// http(address, method, target, headers, body, milliseconds) gives status, body, headers; or nil
// and what failed.
int exchange(lua_State *lua)
{
    const auto address = parseAddress(textAt(lua, 1));
    http_request request{textAt(lua, 2), textAt(lua, 3), {}, "", {}};
    if (lua_istable(lua, 4)) {
        lua_pushnil(lua);
        while (lua_next(lua, 4) != 0) {
            request.headers.emplace_back(textAt(lua, -2), textAt(lua, -1));
            lua_pop(lua, 1);
        }
    }
    request.body = luaL_optstring(lua, 5, "");
    const auto timeout = std::chrono::milliseconds(luaL_optinteger(lua, 6, 3000));
    asio::io_context context(1);
    std::optional<result<http_response, http_failure>> answered;
    const auto client =
            makeHttpClient(context.get_executor(), {valueOf(address), "", 16ULL << 20U});
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                answered = co_await client->exchange(request, timeout);
            },
            asio::detached);
    context.run();
    if (failed(*answered)) {
        lua_pushnil(lua);
        lua_pushstring(lua, describe(failureOf(*answered)).c_str());
        return 2;
    }
    const http_response &answer = valueOf(*answered);
    lua_pushinteger(lua, answer.status);
    lua_pushlstring(lua, answer.body.data(), answer.body.size());
    lua_newtable(lua);
    for (const auto &[name, value] : answer.headers) {
        lua_pushstring(lua, value.c_str());
        lua_setfield(lua, -2, name.c_str());
    }
    return 3;
}

// raw(address, bytes, milliseconds) sends bytes as they are and gives all that came back.
int sendRaw(lua_State *lua)
{
    const auto address = valueOf(parseAddress(textAt(lua, 1)));
    const std::string bytes = textAt(lua, 2);
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

int writeFile(lua_State *lua)
{
    const std::string path = textAt(lua, 1);
    std::filesystem::create_directories(std::filesystem::path(path).parent_path());
    std::ofstream(path, std::ios::binary) << textAt(lua, 2);
    std::filesystem::permissions(path, std::filesystem::perms(0600));
    return 0;
}

int appendFile(lua_State *lua)
{
    std::ofstream(textAt(lua, 1), std::ios::binary | std::ios::app) << textAt(lua, 2);
    return 0;
}

int readFile(lua_State *lua)
{
    std::ifstream input(textAt(lua, 1), std::ios::binary);
    std::ostringstream content;
    content << input.rdbuf();
    const std::string bytes = content.str();
    lua_pushlstring(lua, bytes.data(), bytes.size());
    return 1;
}

int removeTree(lua_State *lua)
{
    std::error_code ignored;
    std::filesystem::remove_all(textAt(lua, 1), ignored);
    return 0;
}

// files(folder) gives the names in it.
int listFiles(lua_State *lua)
{
    std::vector<std::string> names;
    std::error_code ignored;
    for (const auto &item : std::filesystem::directory_iterator(textAt(lua, 1), ignored)) {
        names.push_back(item.path().filename().string());
    }
    pushList(lua, names);
    return 1;
}

// relay(name, listen, target)
int addRelay(lua_State *lua)
{
    const bool added =
            stateOf(lua).relays.add(textAt(lua, 1), valueOf(parseAddress(textAt(lua, 2))),
                                    valueOf(parseAddress(textAt(lua, 3))));
    lua_pushboolean(lua, added);
    return 1;
}

// link(name, "pass" | "silent" | "refuse" | "forget")
int setLink(lua_State *lua)
{
    const std::string mode = textAt(lua, 2);
    link_relays &relays = stateOf(lua).relays;
    if (mode == "forget") {
        relays.forgetConnections(textAt(lua, 1));
    } else {
        relays.setMode(textAt(lua, 1), mode == "silent"   ? link_mode::silent
                                       : mode == "refuse" ? link_mode::refuse
                                                          : link_mode::pass);
    }
    return 0;
}

// say(text) adds a line that the expected output must hold.
int say(lua_State *lua)
{
    const std::string line = textAt(lua, 1) + "\n";
    stateOf(lua).said += line;
    std::cout << line << std::flush;
    return 0;
}

int randomBelow(lua_State *lua)
{
    const auto bound = static_cast<std::uint64_t>(luaL_checkinteger(lua, 1));
    lua_pushinteger(lua, static_cast<lua_Integer>(stateOf(lua).random.below(bound)));
    return 1;
}

// violations({ledger, ...}) gives the lines of all invariant checks.
int violations(lua_State *lua)
{
    const auto events = readLedgers(listAt(lua, 1));
    std::vector<std::string> found = findExcess(events);
    for (const auto &more : {findOverlaps(events), findRepeatedKeys(events)}) {
        found.insert(found.end(), more.begin(), more.end());
    }
    pushList(lua, found);
    return 1;
}

// starts({ledger, ...}, event prefix, worker prefix, from, to)
int starts(lua_State *lua)
{
    const auto events = readLedgers(listAt(lua, 1));
    lua_pushinteger(lua, static_cast<lua_Integer>(countStarts(
                                 events, textAt(lua, 2), textAt(lua, 3), luaL_checkinteger(lua, 4),
                                 luaL_checkinteger(lua, 5))));
    return 1;
}

// usage(name) gives processor milliseconds and resident kilobytes of a process.
int usage(lua_State *lua)
{
    const std::string pid = std::to_string(stateOf(lua).processes.pidOf(textAt(lua, 1)));
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
    std::vector<std::string> values;
    for (std::string value; fields >> value;) {
        values.push_back(value);
    }
    const bool whole = values.size() > 21;
    lua_pushinteger(lua, whole ? (std::stol(values[11]) + std::stol(values[12])) * 10 : 0);
    lua_pushinteger(lua, whole ? std::stol(values[21]) * 4 : 0);
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
    std::cout << "-- time line\n" << formatTimeline(filterAndSortEvents(std::move(events), {}));
}

void registerFunctions(lua_State *lua)
{
    static constexpr luaL_Reg functions[] = {{"start", start},
                                             {"signal", sendSignal},
                                             {"wait", awaitExit},
                                             {"sleep", sleepFor},
                                             {"now", now},
                                             {"http", exchange},
                                             {"raw", sendRaw},
                                             {"write_file", writeFile},
                                             {"read_file", readFile},
                                             {"append_file", appendFile},
                                             {"remove_tree", removeTree},
                                             {"files", listFiles},
                                             {"relay", addRelay},
                                             {"link", setLink},
                                             {"say", say},
                                             {"random", randomBelow},
                                             {"violations", violations},
                                             {"starts", starts},
                                             {"usage", usage}};
    for (const luaL_Reg &function : functions) {
        lua_register(lua, function.name, function.func);
    }
}

bool saidWhatWasExpected(const scenario_options &options, const std::string &said)
{
    const std::string path = std::filesystem::path(options.script).replace_extension("expected");
    std::ifstream input(path);
    std::ostringstream expected;
    expected << input.rdbuf();
    if (said == expected.str()) {
        return true;
    }
    std::cout << "-- the lines differ from " << std::filesystem::path(path).filename().string()
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
    lua_pushstring(lua, options.broken.c_str());
    lua_setglobal(lua, "broken");
    bool held = true;
    for (const std::string &file : {options.prelude, options.script}) {
        if (luaL_dofile(lua, file.c_str()) != LUA_OK) {
            std::cout << "-- FAILED: " << lua_tostring(lua, -1) << "\n";
            held = false;
            break;
        }
    }
    lua_close(lua);
    held = held && saidWhatWasExpected(options, state.said);
    if (!held) {
        printTimeline(options.folder);
    }
    return held ? 0 : 1;
}

} // namespace mango::test
