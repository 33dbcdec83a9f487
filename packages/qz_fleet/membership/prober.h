// Schedules probe rounds and decides when a round has failed.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <cstdint>
#include <map>
#include <random>
#include <variant>
#include <vector>

namespace qz {

struct ProberOptions
{
    Duration period_ = std::chrono::seconds(1); ///< Between the starts of successful rounds.
    /// Time to wait for a reply to the direct probe before indirect probes.
    Duration directProbeTimeout_ = std::chrono::milliseconds(300);
    /// Time to wait for a reply to the indirect probes before the round fails.
    Duration indirectProbeTimeout_ = std::chrono::milliseconds(400);
};

/// The caller must send a probe to the subject.
struct DirectProbe
{
    InstanceId subject_;
    std::uint64_t sequence_ = 0;
};

/// The subject has not replied; the caller must request other members to probe it.
struct IndirectProbe
{
    InstanceId subject_;
    std::uint64_t sequence_ = 0;
};

/// Neither the direct probe nor the indirect ones got a reply in time.
struct FailedRound
{
    InstanceId subject_;
    int failures_ = 0;       ///< Consecutive failed rounds, including this one.
    TimePoint failingSince_; ///< When the first of them started.
};

using ProbeAction = std::variant<DirectProbe, IndirectProbe, FailedRound>;

/// Runs probe rounds for a few subjects. A round starts with a direct probe, continues with
/// indirect ones if there is no reply, and ends with an acknowledgement or as failed. The next
/// round starts one period after the start of the last one or, after a failure, at once.
/// @see Membership, MonitoringRings
class Prober
{
public:
    /// @p random spreads the first rounds over the period. It must outlive the prober.
    Prober(const ProberOptions &options, std::mt19937_64 &random);

    /// Replaces the subjects. Rounds of subjects that remain continue.
    void setSubjects(const std::vector<InstanceId> &subjects, TimePoint now);

    /// Returns the actions that are due at @p now.
    std::vector<ProbeAction> tick(TimePoint now);

    /// Ends the round of @p subject with success if it is still active and has @p sequence.
    void acknowledge(std::uint64_t sequence, const InstanceId &subject, TimePoint now);

    /// To be called if the direct probe could not be sent. The round continues with indirect probes
    /// at the next tick.
    void skipDirectProbe(const InstanceId &subject, TimePoint now);

    /// Starts a round for each idle subject at the next tick.
    void probeSoon(TimePoint now);

    /// Starts all rounds anew after a pause of the process, and discards failures. Replies that are
    /// missing because of the pause must not count as failures.
    void reset(TimePoint now);

    bool isFailing(const InstanceId &subject) const;
    std::vector<InstanceId> subjects() const;

    /// Returns a new sequence number.
    std::uint64_t nextSequence() { return ++lastSequence_; }

private:
    enum class Phase { Idle, Direct, Indirect };

    struct Round
    {
        Phase phase_ = Phase::Idle;
        TimePoint dueAt_; ///< When the phase ends.
        TimePoint startedAt_;
        std::uint64_t sequence_ = 0;
        int failures_ = 0;
        TimePoint failingSince_; ///< Valid only if failures_ is not 0.
    };

    void advance(const InstanceId &subject, Round &round, TimePoint now,
                 std::vector<ProbeAction> &actions);
    void startRound(const InstanceId &subject, Round &round, TimePoint now,
                    std::vector<ProbeAction> &actions);
    Duration randomInitialDelay();

    ProberOptions options_;
    std::mt19937_64 &random_;
    std::map<InstanceId, Round> rounds_; ///< One for each subject.
    std::uint64_t lastSequence_ = 0;
};

} // namespace qz
