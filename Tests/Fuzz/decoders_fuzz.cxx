// Feeds every decoder that reads bytes from a socket or the disk. The first byte chooses one.
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

// What was decoded must decode to the same again.
template<class Value>
void decodeTwice(const std::string &bytes)
{
    Value first;
    if (!mango::decode(bytes, first)) {
        return;
    }
    const std::string again = mango::encode(first);
    Value second;
    if (!mango::decode(again, second) || mango::encode(second) != again) {
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
        decodeTwice<mango::call>(bytes);
        break;
    case 1:
        decodeTwice<mango::response_message>(bytes);
        break;
    case 2:
        decodeTwice<mango::command>(bytes);
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
