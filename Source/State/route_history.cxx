#include "State/route_history.h"

#include <algorithm>

namespace mango {

void recordRoutes(route_history &history, const routes &table, std::uint64_t configVersion)
{
    route_history updated;
    for (const route &row : table) {
        const std::pair<std::string, std::string> match(row.method, row.pathPrefix);
        const auto before = history.find(match);
        updated.emplace(match, before == history.end() ? configVersion : before->second);
    }
    history = std::move(updated);
}

bool hasStayedRouted(const route_history &history, const routed_request &request)
{
    return std::any_of(history.begin(), history.end(), [&request](const auto &item) {
        const auto &[method, pathPrefix] = item.first;
        return (method.empty() || method == request.method) && request.path.starts_with(pathPrefix)
               && item.second <= request.configVersion;
    });
}

} // namespace mango
