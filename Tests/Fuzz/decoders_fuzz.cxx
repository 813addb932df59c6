// Fuzz target for every decoder of bytes from a socket or the disk, and for the parsers of the
// operator's tables. The first byte of the input selects the decoder.
#include <cstddef>
#include <cstdint>
#include <string>

#include "Consensus/replica_storage.h"
#include "Control/worker_protocol.h"
#include "State/cluster_state.h"
#include "State/tables.h"

#include "Wire/codec.h"
#include "Wire/frame_codec.h"
#include "Wire/messages.h"

namespace {

// Traps unless a decoded value survives another round of encoding and decoding unchanged.
template<class Value>
void checkRoundTrip(const std::string &bytes)
{
    Value first;
    if (!mango::decode(bytes, first)) {
        return;
    }
    const std::string encoded = mango::encode(first);
    Value second;
    if (!mango::decode(encoded, second) || mango::encode(second) != encoded) {
        __builtin_trap();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0] % 10) {
    case 0:
        checkRoundTrip<mango::call>(bytes);
        break;
    case 1:
        checkRoundTrip<mango::response_message>(bytes);
        break;
    case 2:
        checkRoundTrip<mango::command>(bytes);
        break;
    case 3: {
        mango::cluster_state state;
        mango::decodeState(bytes, state);
        break;
    }
    case 4: {
        mango::decodeRecords(bytes);
        break;
    }
    case 5:
        mango::decodeHeader(bytes, 1);
        break;
    case 6:
        mango::decodePoll(bytes);
        break;
    case 7:
        mango::decodeReply(bytes);
        break;
    case 8:
        mango::decodeAnnouncement(bytes);
        break;
    default:
        mango::parseRoutes(bytes);
        mango::parsePools(bytes);
    }
    return 0;
}
