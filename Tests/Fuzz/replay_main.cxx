// Runs the fuzz target over a fixed number of generated inputs, for compilers without libFuzzer and
// for CI: the seed is fixed, so each run is the same.
#include <cstdint>
#include <cstdio>
#include <random>
#include <vector>

#include "Wire/codec.h"
#include "Wire/messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main()
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int inputs = 60'000;
    std::printf("seed %llu, %d inputs\n", static_cast<unsigned long long>(seed), inputs);
    std::mt19937_64 random(seed);
    mango::entry_report report;
    report.holdings.resize(3);
    report.announcements.resize(2);
    const std::string valid = mango::encode(mango::call{0, report});
    for (int number = 0; number < inputs; ++number) {
        std::string bytes = valid;
        if (number % 3 == 0) {
            bytes.resize(random() % 300);
            for (char &byte : bytes) {
                byte = static_cast<char>(random());
            }
        }
        for (std::uint64_t changes = random() % 6; changes > 0 && !bytes.empty(); --changes) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.insert(bytes.begin(), static_cast<char>(random() % 10));
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    }
    std::printf("no input broke a decoder\n");
    return 0;
}
