// Runs the fuzz target over a fixed number of generated inputs, for compilers without libFuzzer and
// for CI. The fixed seed makes every run the same. A third of the inputs are random bytes, the
// others a valid message with up to five bytes changed.
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
    constexpr int inputCount = 60'000;
    std::printf("seed %llu, %d inputs\n", static_cast<unsigned long long>(seed), inputCount);
    std::mt19937_64 random(seed);
    mango::entry_report report;
    report.holdings.resize(3);
    report.announcements.resize(2);
    const std::string validCall = mango::encode(mango::call{0, report});
    for (int number = 0; number < inputCount; ++number) {
        std::string bytes = validCall;
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
    std::printf("no input made a decoder fail\n");
    return 0;
}
