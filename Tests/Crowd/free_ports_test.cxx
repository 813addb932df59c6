#include <gtest/gtest.h>

#include <set>

#include "Runner/free_ports.h"

namespace mango::test {

// Two servers of a deployment got the same port, so that a process ended at its start.
TEST(free_ports, areDifferent)
{
    constexpr std::size_t count = 4;
    for (int draw = 0; draw < 20'000; ++draw) {
        const std::vector<std::uint16_t> ports = freePorts("127.61.0.10", count);
        ASSERT_EQ(std::set(ports.begin(), ports.end()).size(), count) << "draw " << draw;
    }
}

} // namespace mango::test
