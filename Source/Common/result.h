#pragma once

#include <utility>
#include <variant>

namespace mango {

// Holds the value of a call that succeeded or the failure of one that did not.
template<class Value, class Failure>
using result = std::variant<Value, Failure>;

// The value type of a result that has no value on success.
struct done
{};

// Returns whether the result holds a failure.
template<class Value, class Failure>
[[nodiscard]] bool failed(const std::variant<Value, Failure> &outcome)
{
    return outcome.index() == 1;
}

// Returns the value; throws std::bad_variant_access when the result holds a failure.
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

// Returns the failure; throws std::bad_variant_access when the result holds a value.
template<class Value, class Failure>
[[nodiscard]] const Failure &failureOf(const std::variant<Value, Failure> &outcome)
{
    return std::get<1>(outcome);
}

// Combines several lambdas into one visitor for std::visit.
template<class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace mango
