// The closed list of everything that can go wrong, and the one table that says what each
// kind means to a caller. Nothing else in the project chooses an HTTP status or decides
// whether "not run" may be said.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace qz {

/// What a caller is told about the fate of a request.
/// Invariant: NotRun is only ever told if no byte of the request was given to a backend
/// connection, or if the backend server itself said that it shed the request.
enum class Outcome : std::uint8_t {
    Answered, ///< A backend server ran the request; its whole answer follows.
    NotRun,   ///< The request was not run and will not be.
    Unknown,  ///< The request may have run.
};

enum class ErrorKind : std::uint8_t {
    // The caller's request.
    BadRequest,
    RequestTooLarge,
    RequestTimeout,
    NoRoute,
    IdempotencyKeyMissing,
    Unauthorized,
    CallerGone,
    // Refused by policy before any backend server saw it.
    RulesNotInForce,
    Refused,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExpiredInQueue,
    NoBackendServer,
    ServersUnreachable,
    GateUnreachable,
    NotTheGate,
    Draining,
    RequestQuarantined,
    // The backend exchange.
    BackendConnectFailed,
    BackendShed,
    BackendTimeout,
    BackendCut,
    AnswerMismatch,
    AnswerTooLarge,
    PeerLinkLost,
    // At most once.
    ClaimStoreUnavailable,
    ClaimUndecided,
    AlreadyClaimed,
    // The platform's table, object store and instance list.
    StoreUnavailable,
    StoreTimeout,
    ConditionFailed,
    NotFound,
    MalformedReply,
    // Links between instances.
    FrameTooLong,
    FrameMalformed,
    FrameUnknown,
    LinkUnauthenticated,
    // Operators and settings.
    InvalidRules,
    RulesConflict,
    InvalidSettings,
    Internal,
};

/// What one error kind means to a caller or operator.
struct ErrorAnswer
{
    ErrorKind kind_;
    std::string_view name_; ///< Stable name, used in headers, logs and metrics.
    int httpStatus_;        ///< The HTTP status that reports this kind.
    Outcome outcome_;       ///< What is told about the request's fate.
    bool retryInFleet_;     ///< Another backend server may be tried for the same request.
};

/// The table row of @p kind.
const ErrorAnswer &answerOf(ErrorKind kind);

/// The kind with the stable name @p name, if there is one.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// The number of kinds; the underlying values run from 0 to one less.
std::size_t errorKindCount();

std::string_view toString(ErrorKind kind);
std::string_view toString(Outcome outcome);

} // namespace qz
