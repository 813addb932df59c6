#pragma once

#include <cstdint>
#include <string>

namespace mango {

// Returns what the allocator takes for a block of this size, with its header and alignment; 0 for a
// block of no bytes, which is not allocated.
std::uint64_t allocatedBytes(std::uint64_t size);

// Returns how many bytes the text holds beyond the size of the string itself.
std::uint64_t heapBytesOf(const std::string &text);

} // namespace mango
