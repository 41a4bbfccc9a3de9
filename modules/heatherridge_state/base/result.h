#pragma once

#include "heatherridge_state/base/errorkind.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace Heatherridge
{

/** Why something did not succeed: one kind of the closed list, and what is known beyond it. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal; ///< which row of the table answers it
    std::string detail{}; ///< for people; no part of any decision
    std::optional<ExecutionStatus> ran{}; ///< overrides the table's word where the raiser knows better
    std::optional<std::chrono::milliseconds> retryAfter{}; ///< when asking again can help, where known

    /** Whether the request ran: the raiser's word, else the table's. */
    ExecutionStatus ranOrDefault() const
    {
        return ran.value_or(errorDescriptorFor(kind).ran);
    }
};

/** Either a value or the reason why there is none. */
template<typename T>
using Result = std::variant<T, Error>;

/** The result of an action without a value. */
using Outcome = std::variant<std::monostate, Error>;

/** The error in @p result, or nullptr. */
template<typename T>
const Error *errorIn(const std::variant<T, Error> &result)
{
    return std::get_if<Error>(&result);
}

/** Builds a visitor for std::visit from lambdas, one an alternative. */
template<typename... Handlers>
struct Visitor : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace Heatherridge
