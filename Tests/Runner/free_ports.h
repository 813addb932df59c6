#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mango::test {

// Returns different TCP ports that nothing listens at on the address. Throws
// boost::system::system_error if there aren't enough.
std::vector<std::uint16_t> freePorts(const std::string &ip, std::size_t count);

} // namespace mango::test
