// When to probe which neighbour, and when a round of probes has failed.
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
    Duration period_ = std::chrono::seconds(1); ///< Between two rounds that succeed.
    Duration directProbeTimeout_ = std::chrono::milliseconds(300);   ///< Then others are asked.
    Duration indirectProbeTimeout_ = std::chrono::milliseconds(400); ///< Then the round has failed.
};

/// Send a probe to the subject.
struct DirectProbe
{
    InstanceId subject_;
    std::uint64_t sequence_ = 0;
};

/// The subject has not answered: ask others to probe it.
struct IndirectProbe
{
    InstanceId subject_;
    std::uint64_t sequence_ = 0;
};

/// Neither the subject nor one of those asked has answered.
struct FailedRound
{
    InstanceId subject_;
    int failures_ = 0;       ///< Rounds that failed in a row, this one included.
    TimePoint failingSince_; ///< When the first of them began.
};

using ProbeAction = std::variant<DirectProbe, IndirectProbe, FailedRound>;

/// Runs rounds of probes against a few subjects. A round begins with a direct probe, goes
/// on with indirect ones, and ends with an acknowledgement or as failed; then the next one
/// begins after the period or, after a failure, at once.
/// @see Membership, MonitoringRings
class Prober
{
public:
    /// @p random spreads the rounds over the period and must outlive the prober.
    Prober(const ProberOptions &options, std::mt19937_64 &random);

    /// Replaces the subjects; rounds of those that stay go on.
    void setSubjects(const std::vector<InstanceId> &subjects, TimePoint now);

    /// What is due at @p now.
    std::vector<ProbeAction> tick(TimePoint now);

    /// @p subject has answered the probe with @p sequence: if its round is still running,
    /// it ends with success.
    void acknowledge(std::uint64_t sequence, const InstanceId &subject, TimePoint now);

    /// The direct probe could not be sent: others are asked with the next tick.
    void skipDirectProbe(const InstanceId &subject, TimePoint now);

    /// Begins a round with each idle subject at the next tick.
    void probeSoon(TimePoint now);

    /// Starts over after a pause of the process: what was not answered meanwhile is not
    /// held against anybody.
    void reset(TimePoint now);

    bool isFailing(const InstanceId &subject) const;
    std::vector<InstanceId> subjects() const;

    /// A sequence number that no round has used.
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
        TimePoint failingSince_; ///< Only meaningful if failures_ is not 0.
    };

    void advance(const InstanceId &subject, Round &round, TimePoint now,
                 std::vector<ProbeAction> &actions);
    void begin(const InstanceId &subject, Round &round, TimePoint now,
               std::vector<ProbeAction> &actions);
    Duration randomPartOfPeriod();

    ProberOptions options_;
    std::mt19937_64 &random_;
    std::map<InstanceId, Round> rounds_; ///< One for each subject.
    std::uint64_t lastSequence_ = 0;
};

} // namespace qz
