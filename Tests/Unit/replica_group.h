#pragma once

#include "Common/log.h"
#include "Control/cluster_machine.h"
#include "Fakes/fake_clock.h"
#include "Fakes/fake_disk.h"
#include "Fakes/fake_network.h"

namespace mango::test {

// Some replicas on a fake clock, network and disks, driven by a test.
class replica_group
{
public:
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

    // Coroutines that still wait refer to the nodes, so they go first.
    ~replica_group()
    {
        context.reset();
    }
    replica_group(const replica_group &) = delete;
    replica_group &operator=(const replica_group &) = delete;

    // One process on one of the disks.
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
                options.listed.push_back(
                        {"replica-" + std::to_string(other), "", addressOf(other), true});
            }
            options.self = options.listed[number];
            consensus = std::make_unique<replica>(group.context->get_executor(), group.clock,
                                                  group.random, transport, files, events, counted,
                                                  options, machine);
        }

        causal_clock stamps;
        timeline events;
        counters counted;
        fake_disk files;
        fake_network transport;
        cluster_machine machine;
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
        node &one = *nodes[number];
        boost::asio::co_spawn(*context, startNode(one, number), boost::asio::detached);
        clock.settle();
    }

    // The process is gone; what its disk holds stays. Its coroutines go on without any effect.
    void crash(std::size_t number)
    {
        if (nodes[number]) {
            nodes[number]->transport.crash();
            nodes[number]->files.crash();
            dead.push_back(std::move(nodes[number]));
        }
    }

    void wipe(std::size_t number)
    {
        crash(number);
        disks[number] = std::make_shared<fake_disk_content>();
    }

    void cut(std::size_t one, std::size_t other)
    {
        links->cuts.insert({addressOf(one), addressOf(other)});
        links->cuts.insert({addressOf(other), addressOf(one)});
    }

    void isolate(std::size_t number)
    {
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (other != number) {
                cut(number, other);
            }
        }
    }

    void heal()
    {
        links->cuts.clear();
    }

    void run(std::chrono::milliseconds span)
    {
        clock.advance(span);
    }

    // The replica that leads now; -1 when none does.
    int leader() const
    {
        for (std::size_t number = 0; number < nodes.size(); ++number) {
            if (nodes[number] && nodes[number]->consensus->leads()) {
                return static_cast<int>(number);
            }
        }
        return -1;
    }

    std::size_t leaders() const
    {
        std::size_t count = 0;
        for (const auto &one : nodes) {
            count += one && one->consensus->leads() ? 1 : 0;
        }
        return count;
    }

    // Starts a change at a replica; its outcome is there once the clock has moved on.
    using outcome = std::shared_ptr<std::optional<result<command_result, propose_failure>>>;
    outcome propose(std::size_t number, const command &change)
    {
        auto made = std::make_shared<std::optional<result<command_result, propose_failure>>>();
        boost::asio::co_spawn(*context, proposeAt(nodes[number]->consensus.get(), change, made),
                              boost::asio::detached);
        clock.settle();
        return made;
    }

    static put_table_command putRoutes(std::uint64_t expected, const std::string &changeId = "")
    {
        return {table_kind::routes, expected,
                "[r]\npath = /" + std::to_string(expected) + "\npool = p\n", changeId};
    }

    // Has a change accepted by whichever replica leads; false when that takes too long.
    bool put(std::uint64_t expected)
    {
        for (int attempt = 0; attempt < 20; ++attempt) {
            const int leads = leader();
            if (leads >= 0) {
                const auto made = propose(static_cast<std::size_t>(leads),
                                          putRoutes(expected, "id" + std::to_string(expected)));
                run(std::chrono::milliseconds(300));
                if (accepted(made)) {
                    return true;
                }
            }
            run(std::chrono::milliseconds(500));
        }
        return false;
    }

    static bool accepted(const outcome &made)
    {
        return made->has_value() && !failed(**made)
               && std::holds_alternative<change_accepted>(valueOf(**made));
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
    std::vector<std::unique_ptr<node>> dead;

private:
    boost::asio::awaitable<void> startNode(node &one, std::size_t number)
    {
        const auto opened = co_await one.consensus->open();
        if (failed(opened)) {
            co_return;
        }
        one.opened = true;
        serveCalls(context->get_executor(), one.transport, one.stamps, addressOf(number),
                   [&one](call message, host_address /*peer*/) {
                       return one.consensus->handle(std::move(message.message));
                   });
        one.consensus->start();
    }

    static boost::asio::awaitable<void> proposeAt(replica *target, command change, outcome made)
    {
        *made = co_await proposeCommand(*target, std::move(change));
    }
};

} // namespace mango::test
