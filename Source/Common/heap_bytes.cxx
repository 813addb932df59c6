#include "Common/heap_bytes.h"

#include <algorithm>

namespace mango {

std::uint64_t allocatedBytes(std::uint64_t size)
{
    constexpr std::uint64_t headerBytes = 8;
    constexpr std::uint64_t alignment = 16;
    constexpr std::uint64_t smallestBlock = 32;
    const std::uint64_t aligned = (size + headerBytes + alignment - 1) / alignment * alignment;
    return size == 0 ? 0 : std::max(smallestBlock, aligned);
}

std::uint64_t heapBytesOf(const std::string &text)
{
    // Short strings are stored in the object itself.
    static const std::size_t inlineCapacity = std::string().capacity();
    return text.capacity() <= inlineCapacity ? 0 : allocatedBytes(text.capacity() + 1);
}

} // namespace mango
