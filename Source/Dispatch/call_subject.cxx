#include "Dispatch/call_subject.h"

namespace mango {

call_subject subjectOf(const fleet_state &state, const std::string &host, const std::string &path)
{
    call_subject subject;
    subject.job = trailingJobId(path);
    if (subject.job) {
        subject.phase = phaseOf(state, *subject.job);
        subject.owner = ownerOf(state, *subject.job);
    }
    subject.route = findRoute(state.configuration, host, path);
    if (subject.route != nullptr) {
        const std::string rest = path.substr(subject.route->pathPrefix.size());
        subject.isQueue = rest.empty();
        subject.isJobOfRoute = parseJobId(rest).has_value();
    }
    return subject;
}

std::optional<customer_id> customerOf(const fleet_configuration &configuration,
                                      const call_subject &subject, const std::string &keyDigest)
{
    if (const auto customer = findCustomer(configuration, keyDigest)) {
        return customer;
    }
    const bool isPublic = subject.route != nullptr && subject.route->isPublic;
    const bool isJobWithoutOwner = subject.phase && subject.owner == 0;
    if (configuration.customers.empty() || isPublic || isJobWithoutOwner) {
        return 0;
    }
    return std::nullopt;
}

bool mayAccessJob(const fleet_configuration &configuration, const call_subject &subject,
                  customer_id customer)
{
    return subject.owner == 0 || subject.owner == customer || configuration.customers.empty();
}

} // namespace mango
