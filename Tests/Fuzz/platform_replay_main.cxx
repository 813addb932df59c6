// Runs the fuzz target over a fixed number of mutated bodies, for CI and compilers without
// libFuzzer. The seed is fixed, so that every run uses the same inputs.
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main()
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int inputs = 60'000;
    std::printf("seed %llu, %d inputs\n", static_cast<unsigned long long>(seed), inputs);
    std::mt19937_64 random(seed);
    const std::string validBodies[] = {
            R"({"spec":"x","steps":[{"count":4,"cpu":500,"depends_on":[0],"gang":true}]})",
            R"({"version":7,"routes":[{"host":"h","path_prefix":"/p","service":"s","timeout_ms":3}],)"
            R"("services":[{"name":"s"}],"limits":{"max_body_bytes":2}})",
            R"({"service":"s","address":"10.1.2.3:80","zone":"z","state":"ready","sequence":1,)"
            R"("born":1,"capacity":{"cpu":1,"mem_mb":1,"gpu":0},"labels":["a"]})",
            R"({"clock_ms":1,"born":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,9]],)"
            R"("ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
            R"({"clock_ms":1,"reason":"fence"})",
            "5c0e7a21d94b36f8.0.1.17"};
    for (int input = 0; input < inputs; ++input) {
        const std::size_t decoder = random() % 6;
        std::string bytes = validBodies[decoder];
        for (std::uint64_t mutations = random() % 5; mutations > 0; --mutations) {
            const std::size_t at = random() % bytes.size();
            if (random() % 3 == 0) {
                bytes.erase(at, 1 + random() % 4);
            } else {
                bytes[at] = static_cast<char>(random());
            }
            if (bytes.empty()) {
                break;
            }
        }
        bytes.insert(bytes.begin(), static_cast<char>(decoder));
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    }
    std::printf("no input crashed a decoder\n");
    return 0;
}
