#pragma once

#include <utility>
#include <variant>

namespace mango {

// The value of a call that succeeded, or the typed failure of one that did not.
template<class Value, class Failure>
using result = std::variant<Value, Failure>;

// Stands for the value of a call that has none.
struct done
{};

// True when the result holds its failure.
template<class Value, class Failure>
[[nodiscard]] bool failed(const std::variant<Value, Failure> &outcome)
{
    return outcome.index() == 1;
}

// The value of a result that did not fail.
template<class Value, class Failure>
[[nodiscard]] Value &valueOf(std::variant<Value, Failure> &outcome)
{
    return std::get<0>(outcome);
}

template<class Value, class Failure>
[[nodiscard]] const Value &valueOf(const std::variant<Value, Failure> &outcome)
{
    return std::get<0>(outcome);
}

// The failure of a result that failed.
template<class Value, class Failure>
[[nodiscard]] const Failure &failureOf(const std::variant<Value, Failure> &outcome)
{
    return std::get<1>(outcome);
}

// Joins several lambdas into one visitor for std::visit.
template<class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace mango
