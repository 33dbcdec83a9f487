// Phases and timeouts of probe rounds.
#include "qz_fleet/membership/prober.h"

#include <algorithm>

namespace qz {

Prober::Prober(const ProberOptions &options, std::mt19937_64 &random)
    : options_(options)
    , random_(random)
{
}

void Prober::setSubjects(const std::vector<InstanceId> &subjects, TimePoint now)
{
    std::map<InstanceId, Round> rounds;
    for (const InstanceId &subject : subjects) {
        const auto known = rounds_.find(subject);
        if (known != rounds_.end()) {
            rounds.emplace(subject, known->second);
            continue;
        }
        Round round;
        round.dueAt_ = now + randomInitialDelay();
        rounds.emplace(subject, round);
    }
    rounds_ = std::move(rounds);
}

std::vector<ProbeAction> Prober::tick(TimePoint now)
{
    std::vector<ProbeAction> actions;
    for (auto &[subject, round] : rounds_) {
        if (now >= round.dueAt_) {
            advance(subject, round, now, actions);
        }
    }
    return actions;
}

void Prober::acknowledge(std::uint64_t sequence, const InstanceId &subject, TimePoint now)
{
    const auto entry = rounds_.find(subject);
    if (entry == rounds_.end() || entry->second.phase_ == Phase::Idle
        || entry->second.sequence_ != sequence) {
        return;
    }
    Round &round = entry->second;
    round.phase_ = Phase::Idle;
    round.failures_ = 0;
    round.dueAt_ = std::max(now, round.startedAt_ + options_.period_);
}

void Prober::skipDirectProbe(const InstanceId &subject, TimePoint now)
{
    const auto entry = rounds_.find(subject);
    if (entry != rounds_.end() && entry->second.phase_ == Phase::Direct) {
        entry->second.dueAt_ = now;
    }
}

void Prober::probeSoon(TimePoint now)
{
    for (auto &[subject, round] : rounds_) {
        if (round.phase_ == Phase::Idle) {
            round.dueAt_ = now;
        }
    }
}

void Prober::reset(TimePoint now)
{
    for (auto &[subject, round] : rounds_) {
        round = Round{};
        round.dueAt_ = now;
    }
}

bool Prober::isFailing(const InstanceId &subject) const
{
    const auto entry = rounds_.find(subject);
    return entry != rounds_.end() && entry->second.failures_ > 0;
}

std::vector<InstanceId> Prober::subjects() const
{
    std::vector<InstanceId> subjects;
    subjects.reserve(rounds_.size());
    for (const auto &[subject, round] : rounds_) {
        subjects.push_back(subject);
    }
    return subjects;
}

void Prober::advance(const InstanceId &subject, Round &round, TimePoint now,
                     std::vector<ProbeAction> &actions)
{
    switch (round.phase_) {
    case Phase::Idle:
        startRound(subject, round, now, actions);
        return;
    case Phase::Direct:
        round.phase_ = Phase::Indirect;
        round.dueAt_ = now + options_.indirectProbeTimeout_;
        actions.emplace_back(IndirectProbe{ subject, round.sequence_ });
        return;
    case Phase::Indirect:
        break;
    }
    if (round.failures_ == 0) {
        round.failingSince_ = round.startedAt_;
    }
    ++round.failures_;
    actions.emplace_back(FailedRound{ subject, round.failures_, round.failingSince_ });
    startRound(subject, round, now, actions);
}

void Prober::startRound(const InstanceId &subject, Round &round, TimePoint now,
                        std::vector<ProbeAction> &actions)
{
    round.phase_ = Phase::Direct;
    round.startedAt_ = now;
    round.dueAt_ = now + options_.directProbeTimeout_;
    round.sequence_ = nextSequence();
    actions.emplace_back(DirectProbe{ subject, round.sequence_ });
}

Duration Prober::randomInitialDelay()
{
    std::uniform_int_distribution<Duration::rep> part(0, options_.period_.count());
    return Duration(part(random_));
}

} // namespace qz
