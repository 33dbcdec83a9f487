// Tracks the health of one backend server from the results of the requests sent to it.
#pragma once

#include "qz_core/time/clock.h"

#include <cstdint>
#include <string_view>

namespace qz {

/// Result of one request sent to a backend server.
enum class AttemptResult : std::uint8_t {
    Answered,      ///< A complete answer that is not a failure of the server.
    ServerError,   ///< The server answered with an error.
    Shed,          ///< The server answered that it did not run the request.
    Cut,           ///< The connection broke after the request was sent, also within the answer.
    Silent,        ///< The connection stopped responding after the request was sent.
    TimedOut,      ///< No answer before the deadline of the request.
    ConnectFailed, ///< The connection could not be opened; nothing was sent.
    WrongInstance, ///< A different server uses the address now.
    Unable,        ///< An instance could not give the request to any server.
    Overtaken,     ///< Another attempt of the request was answered first.
    Cancelled,     ///< Cancelled for a reason unrelated to the server.
};

std::string_view toString(AttemptResult result);

/// Whether the server itself caused a failure, so that all instances should know about it. Other
/// failures can be due to the network path from this instance.
bool isServerFault(AttemptResult result);

/// How a request sent to a backend server ended. @see RouteLatency::makeEnd
struct AttemptEnd
{
    AttemptResult result_ = AttemptResult::Cancelled;
    Duration latency_{}; ///< Time from sending the request to its end.
    bool isRepeatable_ = false;
    double relativeLatency_ = 1.0; ///< The latency divided by the mean latency of the route.
    double silence_ = 0.0;         ///< RouteLatency::silenceScore() of the latency.
    bool isEarly_ = false;         ///< RouteLatency::isEarly() of the latency.
};

/// Durations of ejections.
struct EjectionLimits
{
    /// First ejection, unless nonRepeatableBaseEjectionTime_ applies.
    Duration baseEjectionTime_ = std::chrono::milliseconds(1500);
    /// Shortest ejection after the server has immediately failed a non-repeatable request. A failed
    /// trial loses such a request, so the trial is sent when most failure periods have ended.
    Duration nonRepeatableBaseEjectionTime_ = std::chrono::seconds(6);
    Duration maxEjectionTime_ = std::chrono::seconds(8); ///< Ejections double up to this time.
};

/// Ejects a server for a limited time when its requests fail.
///
/// Assumed load: a server gets a few requests per second and fails some of them for several
/// seconds, although its health check passes. An immediate connection reset is rare on a healthy
/// server, so a single one ejects the server. Error answers, shed requests and resets in place of
/// an answer eject it only if several occur close together.
///
/// After an ejection the server is on trial: it gets one request at a time until it has answered
/// one. A failure during the trial ejects it again, for a longer time.
///
/// Invariant: every ejection ends without further input, so no server is excluded permanently.
/// @see choosePlacement
class ServerHealth
{
public:
    enum class State : std::uint8_t {
        Good,    ///< Gets requests according to its load and latency.
        Ejected, ///< Gets no requests while another server is available.
        Trial,   ///< Gets one request at a time.
    };

    explicit ServerHealth(EjectionLimits limits = {});

    State state(TimePoint now) const;
    /// End of the current or last ejection.
    TimePoint ejectedUntil() const { return ejectedUntil_; }

    /// Start of the current or last ejection.
    TimePoint ejectedSince() const { return ejectedSince_; }

    /// Records the end of a request at @p now. Returns true if this starts an ejection or restarts
    /// the current one.
    bool record(const AttemptEnd &end, TimePoint now);

    /// Ejects the server because the request that was sent to it at @p sentAt is overdue. The
    /// ejection ends early if that request is answered after all. Returns true if this starts an
    /// ejection or restarts the current one.
    bool recordOverdue(TimePoint sentAt, bool isRepeatable, TimePoint now);

    /// Ejects the server because another instance reported an ejection that ends @p remaining after
    /// @p now. Repeated reports of one ejection restart it, but do not move its end.
    void applyReportedEjection(Duration remaining, TimePoint now);
    /// Ends the ejection or trial: the server answers, here or as another instance reported.
    void returnToService(TimePoint now);

    /// Mean of the recent answers' AttemptEnd::relativeLatency_; 1 before the first answer.
    double relativeLatency() const { return relativeLatency_; }

    /// Sum of recent failures, weighted by how rare they are on a healthy server. Each answer
    /// halves it.
    double failureScore() const { return failureScore_; }

private:
    void eject(bool isTrialCostly, TimePoint now);

    EjectionLimits limits_;
    double failureScore_ = 0.0;
    TimePoint ejectedUntil_{}; ///< In the past: not ejected.
    TimePoint ejectedSince_{};
    Duration nextEjectionTime_{ 0 }; ///< Zero: the next ejection is the first.
    bool isInService_ = true;        ///< False while ejected or on trial.
    /// Time when the overdue request was sent that caused the ejection; zero: another cause.
    TimePoint overdueSentAt_{};
    double relativeLatency_ = 1.0;
    bool hasAnswered_ = false;
};

} // namespace qz
