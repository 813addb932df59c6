// Fuzz target for all decoders of the platform's message bodies. The first byte selects the
// decoder.
#include <cstddef>
#include <cstdint>
#include <string>

#include "control_codec.h"
#include "job_codec.h"
#include "worker_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string body(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0] % 6) {
    case 0:
        mango::platform::decodeJob(body);
        break;
    case 1:
        mango::platform::decodeConfiguration(body);
        break;
    case 2:
        mango::platform::decodeHeartbeat("i-1", body);
        break;
    case 3:
        mango::platform::decodeWorkerReport(body);
        break;
    case 4:
        mango::platform::decodeWorkerResponse(409, body);
        break;
    default:
        if (const auto key = mango::platform::parseTaskId(body)) {
            // A parsed id must survive formatting and parsing again.
            if (mango::platform::parseTaskId(mango::platform::formatTaskId(*key)) != key) {
                __builtin_trap();
            }
        }
    }
    return 0;
}
