#include "Common/random_source.h"

#include <cstdio>

namespace mango {

seeded_random::seeded_random()
    : m_generator((std::uint64_t{std::random_device{}()} << 32U) ^ std::random_device{}())
{}

seeded_random::seeded_random(std::uint64_t seed)
    : m_generator(seed)
{}

std::uint64_t seeded_random::next()
{
    return m_generator();
}

std::string randomIdentifier(random_source &random)
{
    char digits[17] = {};
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(random.next()));
    return digits;
}

} // namespace mango
