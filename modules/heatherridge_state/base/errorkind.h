#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** Whether a request ran, as far as the answering process can prove it. */
enum class ExecutionStatus {
    No, ///< it did not run and will not run
    Yes, ///< it ran, wholly or in part
    Unknown, ///< nobody who could know has said so
};

/** The word for @p ran as answers carry it: "no", "yes" or "unknown". */
std::string_view toString(ExecutionStatus ran);

/** Every way in which a request can be refused or fail. The list is closed: a new kind needs a row in the table. */
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

/** What a caller is told for one kind. */
struct ErrorDescriptor
{
    ErrorKind kind; ///< the kind this row answers
    std::string_view name; ///< stable name, part of the problem type and of the counter's label
    int httpStatus; ///< status towards callers
    ExecutionStatus ran; ///< what may be claimed when the place that raises the error knows no better
    bool isRetryable; ///< whether waiting and asking again can succeed; then Retry-After is sent
    std::string_view summary; ///< one line for the caller
};

/** The row for @p kind. Never fails: every kind has a row, which a test checks. */
const ErrorDescriptor &errorDescriptorFor(ErrorKind kind);

/** All rows, in the order of the list. */
std::span<const ErrorDescriptor> allErrorDescriptors();

/** The kind named @p name, or nothing. */
std::optional<ErrorKind> errorKindFromName(std::string_view name);

} // namespace Heatherridge
