#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace mango {

// A source of random numbers, as an interface so that tests can use a fixed seed.
class random_source
{
public:
    virtual ~random_source() = default;
    // Returns the next 64 random bits.
    virtual std::uint64_t next() = 0;
    // Returns a number in [0, bound); bound must not be 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }
};

// A pseudo-random generator with the given seed, or with a seed from the operating system.
class seeded_random final : public random_source
{
public:
    seeded_random();
    explicit seeded_random(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_generator;
};

// Returns the next 64 random bits as 16 hexadecimal digits.
std::string randomIdentifier(random_source &random);

} // namespace mango
