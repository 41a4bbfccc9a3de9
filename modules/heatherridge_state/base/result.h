#pragma once

#include "heatherridge_state/base/errorkind.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace Heatherridge
{

/** Describes a failure: its kind and any further details that are known. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal; ///< selects the ErrorDescriptor
    std::string detail{}; ///< human-readable; never used for decisions
    std::optional<ExecutionStatus> ran{}; ///< overrides the descriptor's default where more is known
    std::optional<std::chrono::milliseconds> retryAfter{}; ///< when a retry can succeed, if known

    /** Returns whether the request was executed: `ran` if set, otherwise the default of the descriptor. */
    ExecutionStatus ranOrDefault() const
    {
        return ran.value_or(errorDescriptorFor(kind).ran);
    }
};

/** Either a value or the error that prevented it. */
template<typename T>
using Result = std::variant<T, Error>;

/** The result of an action that returns no value. */
using Outcome = std::variant<std::monostate, Error>;

/** Returns the error in @p result, or nullptr if it holds a value. */
template<typename T>
const Error *errorIn(const std::variant<T, Error> &result)
{
    return std::get_if<Error>(&result);
}

/** Combines lambdas, one for each alternative, into a visitor for std::visit. */
template<typename... Handlers>
struct Visitor : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace Heatherridge
