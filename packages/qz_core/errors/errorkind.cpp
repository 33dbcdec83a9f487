// The table from error kind to answer.
#include "qz_core/errors/errorkind.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace qz {

namespace {

constexpr auto notRun = Outcome::NotRun;
constexpr auto unknown = Outcome::Unknown;

constexpr std::array answers{
    ErrorAnswer{ ErrorKind::BadRequest, "bad-request", 400, notRun, false },
    ErrorAnswer{ ErrorKind::RequestTooLarge, "request-too-large", 413, notRun, false },
    ErrorAnswer{ ErrorKind::RequestTimeout, "request-timeout", 408, notRun, false },
    ErrorAnswer{ ErrorKind::NoRoute, "no-route", 404, notRun, false },
    ErrorAnswer{ ErrorKind::IdempotencyKeyMissing, "idempotency-key-missing", 428, notRun, false },
    ErrorAnswer{ ErrorKind::Unauthorized, "unauthorized", 401, notRun, false },
    ErrorAnswer{ ErrorKind::CallerGone, "caller-gone", 499, unknown, false },
    ErrorAnswer{ ErrorKind::RulesNotInForce, "rules-not-in-force", 503, notRun, false },
    ErrorAnswer{ ErrorKind::Refused, "refused", 429, notRun, false },
    ErrorAnswer{ ErrorKind::QueueFull, "queue-full", 429, notRun, true },
    ErrorAnswer{ ErrorKind::DeadlineUnreachable, "deadline-unreachable", 503, notRun, false },
    ErrorAnswer{ ErrorKind::DeadlineExpiredInQueue, "deadline-expired", 504, notRun, false },
    ErrorAnswer{ ErrorKind::NoBackendServer, "no-backend-server", 503, notRun, false },
    ErrorAnswer{ ErrorKind::ServersUnreachable, "servers-unreachable", 503, notRun, true },
    ErrorAnswer{ ErrorKind::GateUnreachable, "gate-unreachable", 503, notRun, true },
    ErrorAnswer{ ErrorKind::NotTheGate, "not-the-gate", 503, notRun, true },
    ErrorAnswer{ ErrorKind::Draining, "draining", 503, notRun, true },
    ErrorAnswer{ ErrorKind::RequestQuarantined, "request-quarantined", 503, notRun, false },
    ErrorAnswer{ ErrorKind::BackendConnectFailed, "backend-connect-failed", 503, notRun, true },
    ErrorAnswer{ ErrorKind::BackendShed, "backend-shed", 503, notRun, true },
    ErrorAnswer{ ErrorKind::BackendTimeout, "backend-timeout", 504, unknown, false },
    ErrorAnswer{ ErrorKind::BackendCut, "backend-cut", 502, unknown, false },
    ErrorAnswer{ ErrorKind::AnswerMismatch, "answer-mismatch", 502, unknown, false },
    ErrorAnswer{ ErrorKind::AnswerTooLarge, "answer-too-large", 502, unknown, false },
    ErrorAnswer{ ErrorKind::PeerLinkLost, "peer-link-lost", 502, unknown, false },
    ErrorAnswer{ ErrorKind::ClaimStoreUnavailable, "claim-store-unavailable", 503, notRun, false },
    ErrorAnswer{ ErrorKind::ClaimUndecided, "claim-undecided", 503, notRun, false },
    ErrorAnswer{ ErrorKind::AlreadyClaimed, "already-claimed", 409, unknown, false },
    ErrorAnswer{ ErrorKind::StoreUnavailable, "store-unavailable", 503, notRun, false },
    ErrorAnswer{ ErrorKind::StoreTimeout, "store-timeout", 504, unknown, false },
    ErrorAnswer{ ErrorKind::ConditionFailed, "condition-failed", 412, notRun, false },
    ErrorAnswer{ ErrorKind::NotFound, "not-found", 404, notRun, false },
    ErrorAnswer{ ErrorKind::MalformedReply, "malformed-reply", 502, unknown, false },
    ErrorAnswer{ ErrorKind::FrameTooLong, "frame-too-long", 500, unknown, false },
    ErrorAnswer{ ErrorKind::FrameMalformed, "frame-malformed", 500, unknown, false },
    ErrorAnswer{ ErrorKind::FrameUnknown, "frame-unknown", 500, unknown, false },
    ErrorAnswer{ ErrorKind::LinkUnauthenticated, "link-unauthenticated", 401, notRun, false },
    ErrorAnswer{ ErrorKind::InvalidRules, "invalid-rules", 422, notRun, false },
    ErrorAnswer{ ErrorKind::RulesConflict, "rules-conflict", 409, notRun, false },
    ErrorAnswer{ ErrorKind::InvalidSettings, "invalid-settings", 422, notRun, false },
    ErrorAnswer{ ErrorKind::Internal, "internal", 500, unknown, false },
};

constexpr bool isInOrder()
{
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (static_cast<std::size_t>(answers[i].kind_) != i) {
            return false;
        }
    }
    return static_cast<std::size_t>(ErrorKind::Internal) + 1 == answers.size();
}

static_assert(isInOrder(), "each error kind needs its row, in the order of the enumeration");

} // namespace

const ErrorAnswer &answerOf(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < answers.size());
    return answers[index];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    const auto row =
            std::find_if(answers.begin(), answers.end(),
                         [name](const ErrorAnswer &answer) { return answer.name_ == name; });
    if (row == answers.end()) {
        return std::nullopt;
    }
    return row->kind_;
}

std::size_t errorKindCount()
{
    return answers.size();
}

std::string_view toString(ErrorKind kind)
{
    return answerOf(kind).name_;
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace qz
