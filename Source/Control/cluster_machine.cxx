#include "Control/cluster_machine.h"

namespace mango {

verdict cluster_machine::apply(std::uint64_t /*index*/, const command &change)
{
    verdict outcome = mango::apply(m_state, change);
    if (m_observer) {
        m_observer(change, outcome);
    }
    return outcome;
}

std::string cluster_machine::saveSnapshot()
{
    return encodeState(m_state);
}

bool cluster_machine::loadSnapshot(const std::string &bytes)
{
    cluster_state loaded;
    if (!decodeState(bytes, loaded)) {
        return false;
    }
    m_state = std::move(loaded);
    return true;
}

void cluster_machine::observe(observer watching)
{
    m_observer = std::move(watching);
}

} // namespace mango
