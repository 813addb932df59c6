#include "Crowd/small_deployment.h"

#include <fstream>
#include <iterator>
#include <regex>
#include <thread>

#include <boost/asio.hpp>

#include "Runner/free_ports.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto attemptPause = milliseconds(100);
constexpr int maximumAttempts = 100;
// An address of its own, since the port of the metrics is fixed.
constexpr auto ip = "127.61.0.10";

std::string configurationBody()
{
    return R"({"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/jobs/",)"
           R"("kind":"unsafe","timeout_ms":3000,"target_latency_ms":2500,"priority":0,)"
           R"("service":"desk","max_attempts":3,"stretch":2.2}],"services":[{"name":"desk",)"
           R"("health_path":"/health","max_conns":64,"protocol":"h1","tls":false,)"
           R"("cold_start_s":0.0,"cold_per_s":0.0,"enforces_capacity":true,"spare":false}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":)"
           + std::to_string(small_deployment::bodyLimit)
           + R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

std::string requestText(const std::string &line, const std::string &body)
{
    return line + " HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 3000\r\nConnection: close\r\n"
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Replaces the placeholders of a template; of its sections only those with values `yes` are kept.
std::string render(std::string text, const std::map<std::string, std::string> &values)
{
    static const std::regex section(R"(\{\{([#^])(\w+)\}\}([^{]*)\{\{/\2\}\})");
    static const std::regex placeholder(R"(\{\{([\w.]+)\}\})");
    std::smatch match;
    while (std::regex_search(text, match, section)) {
        const bool kept = values.contains(match[2]) == (match[1] == "#");
        text = match.prefix().str() + (kept ? match[3].str() : "") + match.suffix().str();
    }
    while (std::regex_search(text, match, placeholder)) {
        const auto value = values.find(match[1]);
        text = match.prefix().str() + (value == values.end() ? "" : value->second)
               + match.suffix().str();
    }
    return text;
}

std::uint64_t statusField(pid_t process, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::stoull(line.substr(name.size() + 1));
        }
    }
    return 0;
}

template<class Request>
unsigned repeatUntilServed(Request request)
{
    unsigned status = 0;
    for (int attempt = 0; attempt < maximumAttempts && status != 200; ++attempt) {
        status = request();
        if (status != 200) {
            std::this_thread::sleep_for(attemptPause);
        }
    }
    return status;
}

} // namespace

unsigned statusOfRequest(const host_address &server, const std::string &request)
{
    asio::io_context context;
    tcp::socket socket(context);
    std::string received;
    boost::system::error_code result;
    const tcp::endpoint endpoint(asio::ip::make_address(server.ip), server.port);
    socket.async_connect(endpoint, [&](boost::system::error_code error) {
        if (error) {
            return;
        }
        asio::async_write(socket, asio::buffer(request), [&](auto, auto) {
            asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n",
                                   [](auto, auto) {});
        });
    });
    context.run_for(std::chrono::seconds(5));
    return received.size() > 12 ? static_cast<unsigned>(std::stoul(received.substr(9, 3))) : 0;
}

small_deployment::small_deployment()
    : m_folder(std::filesystem::temp_directory_path()
               / ("mango-crowd-" + std::to_string(::getpid())))
{
    std::filesystem::create_directories(m_folder / "data");
    const std::vector<std::uint16_t> ports = freePorts(ip, 4);
    callers = {ip, ports[0]};
    control = {ip, ports[1]};
    m_readiness = {ip, ports[2]};
    m_internalPort = ports[3];
}

small_deployment::~small_deployment()
{
    for (const char *process : {"edge", "control"}) {
        m_processes.sendSignal(process, "KILL");
        m_processes.waitForExit(process, std::chrono::seconds(5));
    }
    std::filesystem::remove_all(m_folder);
}

std::string small_deployment::writeSettings(const std::string &process,
                                            const std::string &templateFile)
{
    std::ifstream input(std::string(MANGO_SOURCE_FOLDER) + "/deploy/" + templateFile);
    const std::string text((std::istreambuf_iterator<char>(input)), {});
    std::string path = (m_folder / (process + ".ini")).string();
    std::ofstream(path) << render(text, {{"node_name", process},
                                         {"ip", ip},
                                         {"bootstrap", "yes"},
                                         {"internal_ports.0", std::to_string(m_internalPort)},
                                         {"listen_addrs.control", toText(control)},
                                         {"listen_addrs.frontend", toText(callers)},
                                         {"listen_addrs.readiness", toText(m_readiness)},
                                         {"seeds", toText(control)},
                                         {"data_dir", (m_folder / "data").string()},
                                         {"limits.memory_mb", std::to_string(limits.memoryMb)},
                                         {"limits.max_fds", std::to_string(limits.descriptors)}});
    return path;
}

bool small_deployment::start()
{
    for (const std::string process : {"control", "edge"}) {
        const std::string settings = writeSettings(process, process + ".ini");
        if (!m_processes.start(
                    process,
                    {MANGO_PROGRAM_FOLDER "/mango_platform_" + process, "--settings", settings},
                    logFile(process).string())) {
            return false;
        }
    }
    const unsigned configured = repeatUntilServed([&] {
        return statusOfRequest(control, requestText("PUT /config", configurationBody()));
    });
    return configured == 200 && submitJob() == 200;
}

std::filesystem::path small_deployment::logFile(const std::string &process) const
{
    return m_folder / (process + ".log");
}

void small_deployment::suspendControl(bool suspended)
{
    m_processes.sendSignal("control", suspended ? "STOP" : "CONT");
}

std::string small_deployment::logs() const
{
    std::string all;
    for (const char *process : {"control", "edge"}) {
        std::ifstream input(logFile(process));
        all += std::string(process) + ":\n"
               + std::string((std::istreambuf_iterator<char>(input)), {});
    }
    return all;
}

bool small_deployment::bothRun() const
{
    // A child that has ended stays a zombie until it is waited for, without resident memory.
    return peakMemoryMb("edge") > 0 && peakMemoryMb("control") > 0;
}

std::uint64_t small_deployment::peakMemoryMb(const std::string &process) const
{
    return statusField(m_processes.pidOf(process), "VmHWM") >> 10U;
}

std::uint64_t small_deployment::openDescriptors(const std::string &process) const
{
    const std::filesystem::path folder =
            "/proc/" + std::to_string(m_processes.pidOf(process)) + "/fd";
    std::error_code error;
    return static_cast<std::uint64_t>(
            std::distance(std::filesystem::directory_iterator(folder, error), {}));
}

unsigned small_deployment::submitJob()
{
    return repeatUntilServed([&] {
        char id[17];
        std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(m_nextJob++));
        return statusOfRequest(callers, requestText("POST /jobs/" + std::string(id),
                                                    R"({"spec":"s","steps":[{"count":1,"cpu":100,)"
                                                    R"("mem_mb":10,"estimated_ms":100}]})"));
    });
}

unsigned small_deployment::readConfiguration()
{
    return repeatUntilServed([&] {
        return statusOfRequest(control, requestText("GET /config", ""));
    });
}

} // namespace mango::test
