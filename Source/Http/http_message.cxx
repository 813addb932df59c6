#include "Http/http_message.h"

#include <algorithm>

#include <boost/algorithm/string/predicate.hpp>

namespace mango {

namespace {

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(const std::string &text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool escape = text[at] == '%' && at + 2 < text.size() && hexDigit(text[at + 1]) >= 0
                            && hexDigit(text[at + 2]) >= 0;
        if (!escape) {
            plain += text[at];
            continue;
        }
        plain += static_cast<char>(hexDigit(text[at + 1]) * 16 + hexDigit(text[at + 2]));
        at += 2;
    }
    return plain;
}

} // namespace

std::string describe(const http_failure &failure)
{
    static constexpr const char *names[] = {"connect failed", "timed out", "cut off",
                                            "malformed",      "too large", "bad certificate"};
    std::string line = names[static_cast<int>(failure.reason)];
    return failure.detail.empty() ? line : line + ": " + failure.detail;
}

std::string headerValue(const http_headers &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &header) {
        return boost::algorithm::iequals(header.first, name);
    });
    return found == headers.end() ? "" : found->second;
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    std::string rest = question == std::string::npos ? "" : target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        if (pair.starts_with(name + "=")) {
            return percentDecoded(pair.substr(name.size() + 1));
        }
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return "";
}

} // namespace mango
