// What is believed of one backend server from the requests sent to it.
#pragma once

#include "qz_core/time/clock.h"

#include <cstdint>
#include <string_view>

namespace qz {

/// How a request sent to a backend server ended.
enum class AttemptResult : std::uint8_t {
    Answered,      ///< A whole answer that is no failure of the server.
    ServerError,   ///< The server answered that it failed.
    Shed,          ///< The server said that it did not run the request.
    Cut,           ///< The connection or the answer broke after the request was sent.
    Silent,        ///< The way to the server went silent after the request was sent.
    TimedOut,      ///< No answer in the time that the request had.
    ConnectFailed, ///< Nothing was sent.
    WrongInstance, ///< Another server has the address.
    Overtaken,     ///< Another server answered a second try of the request first.
    Cancelled,     ///< Given up for a reason that does not lie with the server.
};

std::string_view toString(AttemptResult result);

/// Whether a failure says something of the server for all instances, rather than of the way
/// from this one to it.
bool isServerFault(AttemptResult result);

/// How long a server is left alone after a failure, and how it comes back.
struct EjectionLimits
{
    /// After the first failure of a request that may be repeated.
    Duration baseEjectionTime_ = std::chrono::milliseconds(1500);
    /// After the first failure of one that may not: its trial costs a request, so it comes
    /// when most spells of failure are over.
    Duration nonRepeatableBaseEjectionTime_ = std::chrono::seconds(6);
    Duration maxEjectionTime_ = std::chrono::seconds(8); ///< Holds double up to this.
    int trialSuccesses_ = 2; ///< Answers in a row that end the trial of a held server.
};

/// Load pattern: a server fails part of its requests for some seconds while its health
/// check is good, at a few requests a second. A reset that comes at once is rare at a sound
/// server, so it alone holds the server; answers of failure, sheds and resets in place of an
/// answer have to come close together.
///
/// A held server gets nothing until its hold ends, then one request at a time until it has
/// answered some in a row. A failure in this trial holds it for longer.
///
/// Invariant: a hold ends by itself, so a server is never left out for good.
/// @see choosePlacement
class ServerHealth
{
public:
    enum class State : std::uint8_t {
        Good,    ///< Gets work by its load and latency.
        Ejected, ///< Gets no work while there is another server.
        Trial,   ///< Gets one request at a time.
    };

    explicit ServerHealth(EjectionLimits limits = {});

    State state(TimePoint now) const;
    /// When a held server may be tried again.
    TimePoint ejectedUntil() const { return ejectedUntil_; }

    /// When the current hold began.
    TimePoint ejectedSince() const { return ejectedSince_; }

    /// Takes the end of a request that took @p took. True if this began or prolonged a hold.
    bool record(AttemptResult result, Duration took, bool isRepeatable, TimePoint now);

    /// Takes the word of another instance that the server fails. Not prolonged by repeats.
    void applyReportedEjection(Duration hold, TimePoint now);
    /// Takes the word of another instance that the server answers again.
    void applyReportedRecovery(TimePoint now);

    /// The mean time of recent answers in relation to @p expected; 1 with no answer yet.
    double relativeLatency(Duration expected) const;

    /// Failures weighed by how rare they are at a sound server; halved by each answer.
    double failureScore() const { return failureScore_; }

private:
    void hold(bool isCostly, TimePoint now);

    EjectionLimits limits_;
    double failureScore_ = 0.0;
    TimePoint ejectedUntil_{}; ///< In the past: not held.
    TimePoint ejectedSince_{};
    Duration nextHold_{ 0 };    ///< Of the next failure; zero: the first hold.
    int trialsLeft_ = 0;        ///< Above zero: held or on trial.
    Duration meanLatency_{ 0 }; ///< Zero: no answer yet.
    Duration quickest_{ 0 };    ///< Of the answers, rising slowly; zero: no answer yet.
};

} // namespace qz
