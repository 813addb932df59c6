#include <ctime>
#include <iostream>
#include <queue>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "Common/log.h"
#include "Dispatch/fleet_server.h"
#include "Fakes/fake_clock.h"
#include "Fakes/fake_disk.h"
#include "Unit/fleet_group.h"
#include "Wire/frame_codec.h"

namespace {

namespace asio = boost::asio;

using namespace mango;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::fake_clock;

constexpr auto step = milliseconds(1);
constexpr std::size_t processCount = 5;

steady_span threadTime()
{
    std::timespec time = {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// What one process has sent.
struct sent_totals
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
    // Frames that are queued in one turn of the event loop go out in one write.
    std::uint64_t writes = 0;
};

struct memory_links;

// One end of a connection in memory between two event loops. Frames are encoded and decoded as for
// a socket.
class memory_connection final : public frame_connection,
                                public std::enable_shared_from_this<memory_connection>
{
public:
    memory_connection(asio::io_context &context, fake_clock &clock, host_address peer,
                      sent_totals &sent)
        : m_context(context)
        , m_peer(std::move(peer))
        , m_sent(sent)
        , m_arrived(clock)
    {}

    void connectTo(const std::shared_ptr<memory_connection> &other)
    {
        m_other = other;
    }
    asio::awaitable<result<frame, network_failure>> receive() override
    {
        while (m_received.empty()) {
            co_await m_arrived.waitFor(std::chrono::hours(1));
        }
        const std::string bytes = std::move(m_received.front());
        m_received.pop_front();
        const auto header =
                decodeHeader(std::string_view(bytes).substr(0, frameHeaderBytes), m_cluster);
        auto joined = joinFrame(valueOf(header), bytes.substr(frameHeaderBytes));
        co_return std::move(valueOf(joined));
    }
    void send(frame message) override
    {
        m_queue.push_back(encodeFrame(message, m_cluster));
        ++m_sent.frames;
        m_sent.bytes += m_queue.back().size();
        if (m_queue.size() == 1) {
            asio::post(m_context, [self = shared_from_this()] {
                self->flush();
            });
        }
    }
    void close() override
    {}
    [[nodiscard]] std::size_t unreadBytes() const override
    {
        return m_received.size();
    }
    [[nodiscard]] host_address peer() const override
    {
        return m_peer;
    }

private:
    void flush()
    {
        ++m_sent.writes;
        std::move(m_queue.begin(), m_queue.end(), std::back_inserter(m_other->m_received));
        m_queue.clear();
        m_other->m_arrived.notifyAll();
    }

    asio::io_context &m_context;
    host_address m_peer;
    sent_totals &m_sent;
    std::uint32_t m_cluster = 7;
    std::shared_ptr<memory_connection> m_other;
    std::deque<std::string> m_received;
    std::vector<std::string> m_queue;
    wake_event m_arrived;
};

struct memory_listener
{
    asio::io_context *context = nullptr;
    fake_clock *clock = nullptr;
    sent_totals *sent = nullptr;
    connection_handler handler;
};

struct memory_links
{
    std::map<host_address, memory_listener> listeners;
    std::deque<connection_handler> kept;
};

class memory_network final : public network
{
public:
    memory_network(memory_links &links, asio::io_context &context, fake_clock &clock,
                   host_address self, sent_totals &sent)
        : m_links(links)
        , m_context(context)
        , m_clock(clock)
        , m_self(std::move(self))
        , m_sent(sent)
    {}
    asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    connect(host_address address, steady_span /*timeout*/) override
    {
        co_await m_clock.sleepFor(step);
        const auto found = m_links.listeners.find(address);
        if (found == m_links.listeners.end()) {
            co_return network_failure{network_failure::kind::connectFailed, address, ""};
        }
        memory_listener &there = found->second;
        const auto local = std::make_shared<memory_connection>(m_context, m_clock, address, m_sent);
        const auto remote = std::make_shared<memory_connection>(*there.context, *there.clock,
                                                                m_self, *there.sent);
        local->connectTo(remote);
        remote->connectTo(local);
        m_links.kept.push_back(there.handler);
        asio::co_spawn(*there.context, m_links.kept.back()(remote), asio::detached);
        co_return std::shared_ptr<frame_connection>(local);
    }
    result<done, network_failure> listen(const host_address &address,
                                         connection_handler handler) override
    {
        m_links.listeners[address] = {&m_context, &m_clock, &m_sent, std::move(handler)};
        return done{};
    }

private:
    memory_links &m_links;
    asio::io_context &m_context;
    fake_clock &m_clock;
    host_address m_self;
    sent_totals &m_sent;
};

struct plain_run
{
    run_key key;
    bool saves = false;
};

struct plain_worker
{
    worker_record record;
    std::vector<plain_run> running;
    std::deque<reported_end> ended;
    std::uint64_t lastEnd = 0;
    // The renewals that wait for an end.
    std::set<wait_timer *> waiting;
};

struct due_end
{
    milliseconds at{0};
    std::size_t worker = 0;
    run_key key;
    bool operator<(const due_end &other) const
    {
        return at > other.at;
    }
};

// All workers. Their runs last as long as the tasks of the job ask for in their specification.
struct plain_fleet
{
    std::vector<plain_worker> workers;
    std::map<std::string, std::size_t> numberOf;
    std::priority_queue<due_end> due;
    milliseconds now{0};
    std::uint64_t starts = 0;
    std::uint64_t renewals = 0;
    std::uint64_t rows = 0;

    void finishDueRuns()
    {
        while (!due.empty() && due.top().at <= now) {
            const due_end next = due.top();
            due.pop();
            plain_worker &worker = workers[next.worker];
            std::erase_if(worker.running, [&](const plain_run &run) {
                return run.key == next.key;
            });
            worker.ended.push_back({++worker.lastEnd, next.key, run_outcome::done, ""});
            for (wait_timer *timer : worker.waiting) {
                timer->cancel();
            }
        }
    }
};

// The tail latency in milliseconds that a standing task reports.
std::uint32_t tailLatencyOf(const run_key &key)
{
    return static_cast<std::uint32_t>(20 + (key.task.job * 7 + key.task.index) % 20);
}

class plain_client final : public worker_client
{
public:
    plain_client(plain_fleet &fleet, fake_clock &clock)
        : m_fleet(fleet)
        , m_clock(clock)
    {}
    asio::awaitable<worker_response> start(worker_call_target target,
                                           start_run_request request) override
    {
        const std::size_t number = m_fleet.numberOf.at(target.incarnation.id);
        ++m_fleet.starts;
        const milliseconds duration(std::stol(request.specification));
        m_fleet.workers[number].running.push_back({request.key, duration.count() == 0});
        if (duration.count() > 0) {
            m_fleet.due.push({m_fleet.now + duration, number, request.key});
        }
        co_return worker_response{worker_call_result::done, m_fleet.now};
    }
    asio::awaitable<worker_response> stop(worker_call_target /*target*/, run_key /*key*/) override
    {
        co_return worker_response{worker_call_result::done, m_fleet.now};
    }
    asio::awaitable<worker_response> throttle(worker_call_target /*target*/, run_key /*key*/,
                                              std::uint32_t /*percent*/) override
    {
        co_return worker_response{worker_call_result::done, m_fleet.now};
    }
    asio::awaitable<std::variant<worker_report, worker_response>>
    renewLease(worker_call_target target, renew_lease_request request) override
    {
        plain_worker &worker = m_fleet.workers[m_fleet.numberOf.at(target.incarnation.id)];
        while (!worker.ended.empty() && worker.ended.front().number <= request.acknowledgedEnds) {
            worker.ended.pop_front();
        }
        if (worker.ended.empty() && request.wait.count() > 0) {
            const auto timer = m_clock.makeTimer();
            worker.waiting.insert(timer.get());
            co_await timer->waitFor(request.wait);
            worker.waiting.erase(timer.get());
        }
        worker_report report;
        report.clock = m_fleet.now;
        report.startTime = worker.record.incarnation.startTime;
        report.ended.assign(worker.ended.begin(), worker.ended.end());
        for (const plain_run &run : worker.running) {
            report.running.push_back(
                    {run.key, run.saves ? "saved" + std::to_string(m_fleet.now.count() / 1000) : "",
                     run.saves ? 100U : 50U, run.saves ? tailLatencyOf(run.key) : 900U});
        }
        ++m_fleet.renewals;
        m_fleet.rows += report.running.size() + report.ended.size();
        co_return report;
    }
    void closeConnections(const worker_incarnation & /*incarnation*/) override
    {}

private:
    plain_fleet &m_fleet;
    fake_clock &m_clock;
};

// One control process with an event loop of its own, so that its processor time can be told apart.
struct process
{
    process(memory_links &links, plain_fleet &fleet, std::size_t number)
        : stamps(clock)
        , events("leader-benchmark", "/dev/null", stamps)
        , files(clock, std::make_shared<test::fake_disk_content>())
        , transport(links, context, clock, addressOf(number), sent)
        , random(number + 1)
        , workers(fleet, clock)
    {
        clock.readWorkTime = threadTime;
        fleet_settings settings;
        settings.replicas.self = {"control-" + std::to_string(number), "", addressOf(number), true};
        settings.listen = addressOf(number);
        settings.replicas.mayBootstrap = true;
        settings.directWorkers = 0;
        for (std::size_t other = 0; other < processCount; ++other) {
            settings.replicas.seeds.push_back(addressOf(other));
        }
        server = std::make_unique<fleet_server>(context.get_executor(), clock, random, transport,
                                                files, events, metricsRegistry, settings, workers);
    }

    static host_address addressOf(std::size_t number)
    {
        return {"10.0.0." + std::to_string(number + 1), 7000};
    }

    asio::io_context context{1};
    fake_clock clock{context};
    causal_clock stamps;
    timeline events;
    metrics_registry metricsRegistry;
    test::fake_disk files;
    sent_totals sent;
    memory_network transport;
    seeded_random random;
    plain_client workers;
    std::unique_ptr<fleet_server> server;
    steady_span used{0};
};

asio::awaitable<void> startServer(fleet_server &server)
{
    co_await server.start();
}

asio::awaitable<void> serve(fleet_server &server, fleet_request request)
{
    co_await server.serve(std::move(request), 0);
}

job_graph graphOf(std::uint32_t steps, std::uint32_t tasks, std::uint32_t milliCores,
                  milliseconds duration)
{
    job_graph graph = test::fleet_group::oneStep(tasks, milliCores);
    graph.specification = std::to_string(duration.count());
    graph.steps[0].estimate = duration;
    graph.steps.resize(steps, graph.steps[0]);
    for (std::uint32_t number = 1; number < steps; ++number) {
        graph.steps[number].dependsOn = {number - 1};
    }
    return graph;
}

// Five control processes and their workers.
struct control_group
{
    explicit control_group(std::size_t workerCount)
    {
        for (std::size_t number = 0; number < processCount; ++number) {
            processes.push_back(std::make_unique<process>(links, fleet, number));
        }
        for (const auto &one : processes) {
            asio::co_spawn(one->context, startServer(*one->server), asio::detached);
        }
        run(seconds(5));
        call(configure_call{test::fleet_group::configuration(1)});
        fleet.workers.resize(workerCount);
        for (std::size_t number = 0; number < workerCount; ++number) {
            worker_record &record = fleet.workers[number].record;
            record.incarnation = {"i-" + std::to_string(100'000 + number), milliseconds(1)};
            record.address = {"10.2." + std::to_string(number / 250) + "."
                                      + std::to_string(number % 250),
                              8043};
            record.failureDomain = std::to_string(number % 5);
            record.service = "desk";
            record.capacity = {32'000, 125'000, 0};
            fleet.numberOf[record.incarnation.id] = number;
            call(heartbeat_call{{record, 1}});
        }
        run(seconds(2));
    }

    [[nodiscard]] process &leader()
    {
        for (const auto &one : processes) {
            if (one->server->hasLeaderLease()) {
                return *one;
            }
        }
        throw std::runtime_error("no process leads");
    }

    void call(fleet_request request)
    {
        process &one = leader();
        asio::co_spawn(one.context, serve(*one.server, std::move(request)), asio::detached);
    }
    void submit(const job_graph &graph)
    {
        call(submit_call{"h.example", "/price/" + formatJobId(nextJob++), graph});
    }

    void run(milliseconds span)
    {
        for (milliseconds passed{0}; passed < span; passed += step) {
            fleet.now += step;
            fleet.finishDueRuns();
            for (const auto &one : processes) {
                const steady_span before = threadTime();
                one->clock.advance(step);
                one->used += threadTime() - before;
            }
        }
    }

    memory_links links;
    plain_fleet fleet;
    std::vector<std::unique_ptr<process>> processes;
    std::uint64_t nextJob = 1;
};

double toMillisecondsOf(steady_span span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// What the leader did per second of a phase.
struct phase_totals
{
    double usedMilliseconds = 0;
    double starts = 0;
};

// Prints the work of the leader per second of a phase.
class phase_report
{
public:
    explicit phase_report(control_group &group)
        : m_group(group)
        , m_used(group.leader().used)
        , m_sent(group.leader().sent)
        , m_starts(group.fleet.starts)
        , m_renewals(group.fleet.renewals)
        , m_rows(group.fleet.rows)
        , m_work(read())
    {}

    phase_totals print(const std::string &phase, double span)
    {
        const process &leader = m_group.leader();
        const auto starts = static_cast<double>(m_group.fleet.starts - m_starts) / span;
        const double used = toMillisecondsOf(leader.used - m_used) / span;
        std::cout << phase << ": leader " << used << " ms/s, starts " << starts << "/s, renewals "
                  << static_cast<double>(m_group.fleet.renewals - m_renewals) / span << "/s, rows "
                  << static_cast<double>(m_group.fleet.rows - m_rows) / span << "/s, frames out "
                  << static_cast<double>(leader.sent.frames - m_sent.frames) / span << "/s in "
                  << static_cast<double>(leader.sent.writes - m_sent.writes) / span << " writes, "
                  << static_cast<double>(leader.sent.bytes - m_sent.bytes) / span / 1000
                  << " KB/s\n";
        const auto now = read();
        double metered = 0;
        for (const auto &[name, value] : now) {
            const double perSecond = static_cast<double>(value - m_work.at(name)) / span;
            const bool isTime = name.find("microseconds") != std::string::npos;
            metered += isTime ? perSecond / 1000 : 0;
            std::cout << "    " << name << " " << (isTime ? perSecond / 1000 : perSecond)
                      << (isTime ? " ms/s\n" : " /s\n");
        }
        std::cout << "    other " << used - metered << " ms/s\n" << std::flush;
        return {used, starts};
    }

private:
    [[nodiscard]] std::map<std::string, std::uint64_t> read()
    {
        std::map<std::string, std::uint64_t> values;
        metrics_registry &metrics = m_group.leader().metricsRegistry;
        for (const char *what : {"offers_updated", "rankings", "offers_scored", "scans_for_task"}) {
            const std::string name = std::string("mango_round_work_total{what=\"") + what + "\"}";
            values[name] = metrics.at(name);
        }
        for (const char *kind : {"rounds", "reports", "sends", "answers", "appends", "applies",
                                 "served", "snapshots"}) {
            const std::string label = std::string("{kind=\"") + kind + "\"}";
            for (const char *name : {"mango_work_total", "mango_work_microseconds_total"}) {
                values[name + label] = metrics.at(name + label);
            }
        }
        return values;
    }

    control_group &m_group;
    steady_span m_used;
    sent_totals m_sent;
    std::uint64_t m_starts;
    std::uint64_t m_renewals;
    std::uint64_t m_rows;
    std::map<std::string, std::uint64_t> m_work;
};

} // namespace

// Usage: leader_benchmark [workers [seconds [shared]]]. Plays the standing tasks and the turnover
// of a large service, and prints the processor time of the leader by kind of work, and that of a
// start with its end. With `shared` the standing tasks have targets for their tail latency, and the
// large jobs are best-effort. Times of work in metrics are exported once a second, so that the
// kinds are a second late.
int main(int argc, char **argv)
{
    startLogging("error");
    const std::size_t workers = argc > 1 ? std::stoul(argv[1]) : 1800;
    const int span = argc > 2 ? std::stoi(argv[2]) : 4;
    const bool isShared = argc > 3 && std::string(argv[3]) == "shared";
    control_group group(workers);
    const std::size_t scale = workers / 18;
    // Standing tasks; a duration of 0 means that they last.
    for (std::size_t number = 0; number < scale * 5; ++number) {
        job_graph graph = graphOf(1, 24, 1000, milliseconds(0));
        graph.steps[0].longRunning = true;
        if (isShared) {
            graph.steps[0].image = "service-" + std::to_string(number % 16);
            graph.steps[0].tailLatencyTarget = milliseconds(50);
        }
        group.submit(graph);
        if (number % 10 == 9) {
            group.run(milliseconds(50));
        }
    }
    group.run(seconds(5));
    phase_report idle(group);
    group.run(seconds(span));
    const phase_totals still = idle.print("idle", span);
    double largeDue = 0;
    double smallDue = 0;
    const auto turnover = [&](int count) {
        constexpr int partsPerSecond = 50;
        for (int part = 0; part < count * partsPerSecond; ++part) {
            largeDue += 0.3 * static_cast<double>(scale) / partsPerSecond;
            smallDue += 0.165 * static_cast<double>(scale) / partsPerSecond;
            for (; largeDue >= 1; largeDue -= 1) {
                job_graph graph =
                        graphOf(2, 40, 2500 + group.nextJob % 40 * 50, milliseconds(2700));
                for (job_step &step : graph.steps) {
                    step.bestEffort = isShared;
                    step.image = isShared ? "batch-" + std::to_string(group.nextJob % 30) : "";
                }
                group.submit(graph);
            }
            for (; smallDue >= 1; smallDue -= 1) {
                group.submit(graphOf(2, 13, 9800, milliseconds(1000)));
            }
            group.run(milliseconds(1000 / partsPerSecond));
        }
    };
    turnover(4);
    phase_report peak(group);
    turnover(span);
    const phase_totals busy = peak.print("peak", span);
    std::cout << "a start with its end: "
              << (busy.usedMilliseconds - still.usedMilliseconds) / busy.starts << " ms\n";
    // Coroutines of all processes refer to each other, so nothing is destroyed.
    std::cout.flush();
    std::quick_exit(0);
}
