#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Dispatch/fleet_server.h"
#include "Fakes/fake_clock.h"
#include "Fakes/fake_disk.h"
#include "Fakes/fake_network.h"
#include "Fakes/fake_workers.h"

namespace mango::test {

// The calls of one control process to the workers of a test.
class node_worker_client final : public worker_client
{
public:
    node_worker_client(clock_source &clock, worker_client &all)
        : m_clock(clock)
        , m_all(all)
    {}

    // The number of calls that this process has sent.
    std::uint64_t calls = 0;
    // The process has stopped: its calls reach no worker and get no response.
    bool stopped = false;
    // How long each call waits in this process before it is sent, and after it was answered.
    std::chrono::milliseconds delay{0};
    // Called for each call when it is set, instead of `delay`.
    std::function<std::chrono::milliseconds()> drawDelay;
    // Called for each report when it is set: how long it waits in this process before it is read.
    std::function<std::chrono::milliseconds()> drawReadDelay;

    boost::asio::awaitable<worker_response> start(worker_call_target target,
                                                  start_run_request request) override
    {
        worker_response response;
        const bool sent = co_await send();
        if (sent) {
            response = co_await m_all.start(std::move(target), std::move(request));
        }
        co_return response;
    }
    boost::asio::awaitable<worker_response> stop(worker_call_target target, run_key key) override
    {
        worker_response response;
        const bool sent = co_await send();
        if (sent) {
            response = co_await m_all.stop(std::move(target), key);
        }
        co_return response;
    }
    boost::asio::awaitable<worker_response> throttle(worker_call_target target, run_key key,
                                                     std::uint32_t percent) override
    {
        worker_response response;
        const bool sent = co_await send();
        if (sent) {
            response = co_await m_all.throttle(std::move(target), key, percent);
        }
        co_return response;
    }
    boost::asio::awaitable<std::variant<worker_report, worker_response>>
    renewLease(worker_call_target target, renew_lease_request request) override
    {
        std::variant<worker_report, worker_response> response{worker_response{}};
        const bool sent = co_await send();
        if (sent) {
            response = co_await m_all.renewLease(std::move(target), request);
            std::chrono::milliseconds wait = drawDelay ? drawDelay() : delay;
            if (drawReadDelay) {
                wait = drawReadDelay();
            }
            co_await m_clock.sleepFor(wait);
        }
        co_return response;
    }
    void closeConnections(const worker_incarnation &incarnation) override
    {
        m_all.closeConnections(incarnation);
    }

private:
    boost::asio::awaitable<bool> send()
    {
        ++calls;
        const std::chrono::milliseconds wait = drawDelay ? drawDelay() : delay;
        if (wait.count() > 0) {
            co_await m_clock.sleepFor(wait);
        }
        if (stopped) {
            co_await m_clock.sleepFor(std::chrono::seconds(1));
        }
        co_return !stopped;
    }

    clock_source &m_clock;
    worker_client &m_all;
};

// Control processes on a fake clock, network and disks, with in-memory workers.
class fleet_group
{
public:
    // Creates `size` processes and starts the first `running`; the seeds are the first `seedCount`
    // addresses.
    explicit fleet_group(std::size_t size, std::size_t running, std::size_t seedCount,
                         std::uint64_t seed = 1, std::size_t directWorkers = 600)
        : links(std::make_shared<fake_links>(context->get_executor(), clock))
        , random(seed)
        , workers(context->get_executor(), clock)
        , m_seedCount(seedCount)
        , m_directWorkers(directWorkers)
    {
        for (std::size_t number = 0; number < size; ++number) {
            disks.push_back(std::make_shared<fake_disk_content>());
            nodes.push_back(nullptr);
        }
        for (std::size_t number = 0; number < running; ++number) {
            start(number, true);
        }
    }
    explicit fleet_group(std::size_t size)
        : fleet_group(size, size, size)
    {
        run(std::chrono::seconds(3));
    }

    ~fleet_group()
    {
        context.reset();
    }
    fleet_group(const fleet_group &) = delete;
    fleet_group &operator=(const fleet_group &) = delete;

    struct node
    {
        node(fleet_group &group, std::size_t number, bool firstStart)
            : stamps(group.clock)
            , events("fleet", "/dev/null", stamps)
            , files(group.clock, group.disks[number])
            , transport(group.links, addressOf(number))
            , workers(group.clock, group.workers)
        {
            fleet_settings settings;
            settings.replicas.self = {"fleet-" + std::to_string(number), "", addressOf(number),
                                      true};
            settings.listen = addressOf(number);
            settings.replicas.mayBootstrap = firstStart;
            settings.directWorkers = group.m_directWorkers;
            settings.registrations = group.registrations;
            settings.openJobs = group.openJobs;
            for (std::size_t other = 0; other < group.m_seedCount; ++other) {
                settings.replicas.seeds.push_back(addressOf(other));
            }
            server = std::make_unique<fleet_server>(group.context->get_executor(), group.clock,
                                                    group.random, transport, files, events,
                                                    metricsRegistry, settings, workers);
        }

        causal_clock stamps;
        timeline events;
        metrics_registry metricsRegistry;
        fake_disk files;
        fake_network transport;
        node_worker_client workers;
        std::unique_ptr<fleet_server> server;
    };

    static host_address addressOf(std::size_t number)
    {
        return {"10.0.0." + std::to_string(number + 1), 7000};
    }

    void start(std::size_t number, bool firstStart)
    {
        nodes[number] = std::make_unique<node>(*this, number, firstStart);
        boost::asio::co_spawn(*context, startNode(*nodes[number]), boost::asio::detached);
        clock.runReady();
    }

    // Kills a process; the content of its disk stays.
    void crash(std::size_t number)
    {
        nodes[number]->transport.crash();
        nodes[number]->files.crash();
        nodes[number]->workers.stopped = true;
        crashedNodes.push_back(std::move(nodes[number]));
    }

    // Kills a process and erases its disk.
    void wipe(std::size_t number)
    {
        crash(number);
        disks[number] = std::make_shared<fake_disk_content>();
    }

    // Cuts the links between a process and all others.
    void isolate(std::size_t number)
    {
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (other != number) {
                links->blockedLinks.insert({addressOf(number), addressOf(other)});
                links->blockedLinks.insert({addressOf(other), addressOf(number)});
            }
        }
    }

    // Advances the clock in small steps and ends runs of workers that are due.
    void run(std::chrono::milliseconds span)
    {
        constexpr auto step = std::chrono::milliseconds(10);
        for (std::chrono::milliseconds passed{0}; passed < span; passed += step) {
            clock.advance(step);
            workers.finishDueRuns();
            for (const std::string &replacement : workers.takeReplacements()) {
                m_heartbeatsDue[replacement] = clock.now();
            }
            sendDueHeartbeats();
        }
    }

    // The number of the leading process; -1 when none leads.
    [[nodiscard]] int leader() const
    {
        for (std::size_t number = 0; number < nodes.size(); ++number) {
            if (nodes[number] && nodes[number]->server->hasLeaderLease()) {
                return static_cast<int>(number);
            }
        }
        return -1;
    }
    [[nodiscard]] fleet_server &leading() const
    {
        return *nodes[static_cast<std::size_t>(leader())]->server;
    }

    // Makes a call at a process and waits up to 6 s of fake time for its response.
    fleet_response call(std::size_t number, const fleet_request &request)
    {
        return callReceived(number, request, nodes[number]->server->receiptMark());
    }
    // The same for a request that has waited in the process since its receipt mark was `mark`.
    fleet_response callReceived(std::size_t number, const fleet_request &request,
                                std::uint64_t mark)
    {
        auto response = std::make_shared<std::optional<fleet_response>>();
        boost::asio::co_spawn(*context,
                              callAt(nodes[number]->server.get(), request, mark, response),
                              boost::asio::detached);
        for (int wait = 0; wait < 600 && !*response; ++wait) {
            run(std::chrono::milliseconds(10));
        }
        return response->value_or(fleet_response{});
    }
    fleet_response call(const fleet_request &request)
    {
        return call(static_cast<std::size_t>(std::max(0, leader())), request);
    }

    // A configuration with one queue of one service.
    static fleet_configuration configuration(std::uint64_t version)
    {
        fleet_configuration made;
        made.version = version;
        made.source = "version " + std::to_string(version);
        made.services.push_back({"desk", true});
        queue_route route;
        route.name = "price";
        route.host = "h.example";
        route.pathPrefix = "/price/";
        route.service = "desk";
        route.maximumFailures = 3;
        route.timeout = std::chrono::seconds(3);
        made.routes.push_back(route);
        return made;
    }

    // Adopts configuration version 1.
    void configure()
    {
        call(configure_call{configuration(1)});
    }
    void announce(const std::string &worker)
    {
        call(heartbeat_call{{workers.at(worker).record, ++m_sequence}});
    }
    // Sends a heartbeat to the leader without waiting for its response.
    void sendHeartbeat(const worker_heartbeat &heartbeat)
    {
        spawn(heartbeat_call{heartbeat});
    }
    // The same for any call; a process that runs gets it while none leads.
    void spawn(fleet_request request)
    {
        const auto running = std::find_if(nodes.begin(), nodes.end(), [](const auto &one) {
            return one != nullptr;
        });
        fleet_server &server = leader() >= 0 ? leading() : *running->get()->server;
        boost::asio::co_spawn(*context,
                              callAt(&server, std::move(request), 0,
                                     std::make_shared<std::optional<fleet_response>>()),
                              boost::asio::detached);
    }
    fleet_response submit(std::uint64_t job, const job_graph &graph)
    {
        return call(submit_call{"h.example", "/price/" + formatJobId(job), graph});
    }
    std::optional<job_phase> phase(std::uint64_t job)
    {
        return call(query_call{"h.example", "/price/" + formatJobId(job)}).phase;
    }

    static job_graph oneStep(std::uint32_t tasks, std::uint32_t milliCores = 1000)
    {
        job_graph graph;
        graph.specification = "do it";
        job_step step;
        step.tasks = tasks;
        step.resources = {milliCores, 100, 0};
        step.estimate = std::chrono::milliseconds(500);
        graph.steps.push_back(step);
        return graph;
    }

    // What the registered workers of the processes that start after a change may hold.
    registration_limits registrations;
    // What their open jobs may hold.
    open_job_limits openJobs;

    std::unique_ptr<boost::asio::io_context> context = std::make_unique<boost::asio::io_context>(1);
    fake_clock clock{*context};
    std::shared_ptr<fake_links> links;
    seeded_random random;
    fake_workers workers;
    std::vector<std::shared_ptr<fake_disk_content>> disks;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<node>> crashedNodes;

private:
    static boost::asio::awaitable<void> startNode(node &one)
    {
        co_await one.server->start();
    }
    static boost::asio::awaitable<void>
    callAt(fleet_server *server, fleet_request request, std::uint64_t receivedAfter,
           std::shared_ptr<std::optional<fleet_response>> response)
    {
        *response = co_await server->serve(std::move(request), receivedAfter);
    }

    // Sends the heartbeats of the workers that have taken the place of crashed ones.
    void sendDueHeartbeats()
    {
        constexpr auto interval = std::chrono::seconds(1);
        for (auto &[worker, due] : m_heartbeatsDue) {
            if (due <= clock.now() && workers.exists(worker)) {
                due = clock.now() + interval;
                sendHeartbeat({workers.at(worker).record, ++m_sequence});
            }
        }
    }

    std::size_t m_seedCount;
    std::size_t m_directWorkers;
    std::uint64_t m_sequence = 0;
    // By worker: when its next heartbeat is due.
    std::map<std::string, steady_time> m_heartbeatsDue;
};

} // namespace mango::test
