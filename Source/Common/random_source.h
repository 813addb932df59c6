#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace mango {

// Random numbers as an interface, so that a test can fix the seed.
class random_source
{
public:
    virtual ~random_source() = default;
    // The next 64 random bits.
    virtual std::uint64_t next() = 0;
    // A number in [0, bound); bound must not be 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }
};

// A generator with the given seed, or with one of the operating system.
class seeded_random final : public random_source
{
public:
    seeded_random();
    explicit seeded_random(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_generator;
};

// Sixteen hexadecimal digits made of the next 64 random bits.
std::string randomIdentifier(random_source &random);

} // namespace mango
