#pragma once

#include "Common/log.h"
#include "Control/cluster_state_machine.h"
#include "Fakes/fake_clock.h"
#include "Fakes/fake_disk.h"
#include "Fakes/fake_network.h"

namespace mango::test {

// A group of replicas on a fake clock, network and disks.
class replica_group
{
public:
    // Starts `size` replicas and runs them for 4 s, so that they form a group and elect a leader.
    explicit replica_group(std::size_t size, std::uint64_t seed = 1)
        : links(std::make_shared<fake_links>(context->get_executor(), clock))
        , random(seed)
    {
        for (std::size_t number = 0; number < size; ++number) {
            disks.push_back(std::make_shared<fake_disk_content>());
            nodes.push_back(nullptr);
        }
        for (std::size_t number = 0; number < size; ++number) {
            restart(number);
        }
        clock.advance(std::chrono::seconds(4));
    }

    // Destroys the suspended coroutines first, since they refer to the nodes.
    ~replica_group()
    {
        context.reset();
    }
    replica_group(const replica_group &) = delete;
    replica_group &operator=(const replica_group &) = delete;

    // One process that uses one of the disks.
    struct node
    {
        node(replica_group &group, std::size_t number)
            : stamps(group.clock)
            , events("replica", "/dev/null", stamps)
            , files(group.clock, group.disks[number])
            , transport(group.links, addressOf(number))
        {
            replica_options options = group.options;
            for (std::size_t other = 0; other < group.disks.size(); ++other) {
                options.configuredMembers.push_back(
                        {"replica-" + std::to_string(other), "", addressOf(other), true});
            }
            options.self = options.configuredMembers[number];
            consensus = std::make_unique<replica>(group.context->get_executor(), group.clock,
                                                  group.random, transport, files, events,
                                                  metricsRegistry, options, machine);
        }

        causal_clock stamps;
        timeline events;
        metrics_registry metricsRegistry;
        fake_disk files;
        fake_network transport;
        cluster_state_machine machine;
        std::unique_ptr<replica> consensus;
        bool opened = false;
    };

    static host_address addressOf(std::size_t number)
    {
        return {"10.0.0." + std::to_string(number + 1), 7000};
    }

    void restart(std::size_t number)
    {
        nodes[number] = std::make_unique<node>(*this, number);
        node &started = *nodes[number];
        boost::asio::co_spawn(*context, startNode(started, number), boost::asio::detached);
        clock.runReady();
    }

    // Simulates a crash of the process. Its disk keeps its content. The coroutines of the process
    // continue to run, but can no longer reach the disk or the network.
    void crash(std::size_t number)
    {
        if (nodes[number]) {
            nodes[number]->transport.crash();
            nodes[number]->files.crash();
            crashedNodes.push_back(std::move(nodes[number]));
        }
    }

    // Crashes the process and replaces its disk by an empty one.
    void wipe(std::size_t number)
    {
        crash(number);
        disks[number] = std::make_shared<fake_disk_content>();
    }

    // Blocks the links between two processes in both directions.
    void disconnect(std::size_t one, std::size_t other)
    {
        links->blockedLinks.insert({addressOf(one), addressOf(other)});
        links->blockedLinks.insert({addressOf(other), addressOf(one)});
    }

    void isolate(std::size_t number)
    {
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (other != number) {
                disconnect(number, other);
            }
        }
    }

    void reconnectAll()
    {
        links->blockedLinks.clear();
    }

    void run(std::chrono::milliseconds span)
    {
        clock.advance(span);
    }

    // The number of the replica that holds the leader lease; -1 when none does.
    int leader() const
    {
        for (std::size_t number = 0; number < nodes.size(); ++number) {
            if (nodes[number] && nodes[number]->consensus->hasLeaderLease()) {
                return static_cast<int>(number);
            }
        }
        return -1;
    }

    // The number of replicas that consider themselves to hold the leader lease.
    std::size_t leaderCount() const
    {
        std::size_t count = 0;
        for (const auto &candidate : nodes) {
            count += candidate && candidate->consensus->hasLeaderLease() ? 1 : 0;
        }
        return count;
    }

    // Proposes a change at a replica; the outcome is set once the clock has advanced far enough.
    using outcome = std::shared_ptr<std::optional<result<command_result, propose_failure>>>;
    outcome propose(std::size_t number, const command &change)
    {
        auto pending = std::make_shared<std::optional<result<command_result, propose_failure>>>();
        boost::asio::co_spawn(*context, proposeAt(nodes[number]->consensus.get(), change, pending),
                              boost::asio::detached);
        clock.runReady();
        return pending;
    }

    static put_table_command putRoutes(std::uint64_t expected, const std::string &changeId = "")
    {
        return {table_kind::routes, expected,
                "[r]\npath = /" + std::to_string(expected) + "\npool = p\n", changeId};
    }

    // Proposes a change at the current leader, up to 20 times, until it is accepted.
    bool putWithRetry(std::uint64_t expected)
    {
        for (int attempt = 0; attempt < 20; ++attempt) {
            const int current = leader();
            if (current >= 0) {
                const auto pending = propose(static_cast<std::size_t>(current),
                                             putRoutes(expected, "id" + std::to_string(expected)));
                run(std::chrono::milliseconds(300));
                if (accepted(pending)) {
                    return true;
                }
            }
            run(std::chrono::milliseconds(500));
        }
        return false;
    }

    static bool accepted(const outcome &pending)
    {
        return pending->has_value() && !failed(**pending)
               && std::holds_alternative<change_accepted>(valueOf(**pending));
    }

    std::uint64_t version(std::size_t number) const
    {
        const auto &tables = nodes[number]->machine.state().tables;
        const auto found = tables.find(table_kind::routes);
        return found == tables.end() ? 0 : found->second.version;
    }

    std::unique_ptr<boost::asio::io_context> context = std::make_unique<boost::asio::io_context>(1);
    fake_clock clock{*context};
    std::shared_ptr<fake_links> links;
    seeded_random random;
    replica_options options;
    std::vector<std::shared_ptr<fake_disk_content>> disks;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<node>> crashedNodes;

private:
    boost::asio::awaitable<void> startNode(node &started, std::size_t number)
    {
        const auto opened = co_await started.consensus->open();
        if (failed(opened)) {
            co_return;
        }
        started.opened = true;
        serveCalls(context->get_executor(), started.transport, started.stamps, addressOf(number),
                   [&started](call message, host_address /*peer*/) {
                       return started.consensus->handle(std::move(message.message));
                   });
        started.consensus->start();
    }

    static boost::asio::awaitable<void> proposeAt(replica *target, command change, outcome pending)
    {
        *pending = co_await proposeCommand(*target, std::move(change));
    }
};

} // namespace mango::test
