#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** Whether a request was executed, as far as the responding process can prove it. */
enum class ExecutionStatus {
    No, ///< was not executed and will not be
    Yes, ///< was executed completely or in part
    Unknown, ///< no process that could know has reported either
};

/** Returns the text for @p ran in responses: "no", "yes" or "unknown". */
std::string_view toString(ExecutionStatus ran);

/** Every reason for which a request can be refused or fail. A new kind also needs a row in the descriptor table. */
enum class ErrorKind {
    BadRequest,
    BodyTooLarge,
    HeaderTooLarge,
    BadDeadline,
    BadIdempotencyKey,
    UnknownWorkspace,
    UnknownApiKey,
    UnknownService,
    UnknownModel,
    NotFound,
    MethodNotAllowed,
    SlowSender,
    DeadlineUnreachable,
    DeadlineExceeded,
    WorkspaceOverLimit,
    QueueFull,
    Overloaded,
    NoTarget,
    TargetUnreachable,
    TargetWithdrawn,
    ZoneDrained,
    OutsideRegions,
    EndsTargets,
    Draining,
    StaleOffset,
    Unconfirmed,
    PlatformUnavailable,
    KeyMismatch,
    KeyRunning,
    KeyOutcomeUnknown,
    KeyExpired,
    KeyNotDecidable,
    OutcomeUnknown,
    BackendFailed,
    StreamBroken,
    MalformedFrame,
    UnknownRequest,
    FencedOff,
    CallerGone,
    Internal,
};

/** Describes how one kind of error is reported to the caller. */
struct ErrorDescriptor
{
    ErrorKind kind; ///< the kind that this row describes
    std::string_view name; ///< stable name; part of the problem type and of the counter's label
    int httpStatus; ///< status of the response to the caller
    ExecutionStatus ran; ///< default when the code that raises the error has no better information
    bool isRetryable; ///< whether a later retry can succeed; if so, Retry-After is sent
    std::string_view summary; ///< one-line description for the caller
};

/** Returns the descriptor of @p kind. Never fails, because every kind has a row; a test checks this. */
const ErrorDescriptor &errorDescriptorFor(ErrorKind kind);

/** Returns all descriptors in the order of ErrorKind. */
std::span<const ErrorDescriptor> allErrorDescriptors();

/** Returns the kind named @p name, or std::nullopt if there is none. */
std::optional<ErrorKind> errorKindFromName(std::string_view name);

} // namespace Heatherridge
