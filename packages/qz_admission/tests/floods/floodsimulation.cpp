// Discrete event simulation of a flood at several gates.
#include "floodsimulation.h"

#include <algorithm>
#include <cmath>

namespace qz::floods {

namespace {

constexpr std::size_t gateCount = 8;
constexpr std::size_t entryCount = 32;
constexpr std::size_t regionCount = 2;
constexpr std::size_t maxQueued = 512;
constexpr std::size_t maxTries = 2;
constexpr std::uint64_t baselineWorkspaces = 50;
constexpr std::uint64_t floodingWorkspaces = 5;
constexpr double serviceTimeSigma = 0.5;                     // Standard deviation of the logarithm.
constexpr Duration completionTime = std::chrono::seconds(3); // The longest target.
constexpr Duration digestPeriod = std::chrono::milliseconds(500);

RegionId regionOf(std::size_t index)
{
    return RegionId("region-" + std::to_string(index % regionCount));
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

FloodSimulation::FloodSimulation(SimulationSettings settings, const MakePolicy &makePolicy)
    : settings_(std::move(settings))
    , measureStart_(now_ + settings_.warmUp_)
    , measureEnd_(measureStart_ + settings_.measuredTime_)
    , arrivalRandom_(settings_.seed_)
    , chooserRandom_(settings_.seed_ + 1)
{
    for (std::size_t gate = 0; gate < gateCount; ++gate) {
        gates_.push_back(AdmissionQueue::Builder()
                                 .setSlots(settings_.deployment_.slots_)
                                 .setRanks(ranks_)
                                 .setMaxQueued(maxQueued)
                                 .setPolicy(makePolicy())
                                 .build());
    }
    for (std::size_t index = 0; index < entryCount; ++index) {
        Entry entry{ {}, std::vector<TimePoint>(gateCount, now_), RetryBudget({}, now_) };
        for (std::size_t gate = 0; gate < gateCount; ++gate) {
            ServerCandidate candidate;
            candidate.id_ = BackendServerId("server-" + std::to_string(gate));
            candidate.location_.region_ = regionOf(gate);
            candidate.roundTrip_ = 2 * networkDelay(index, gate);
            entry.candidates_.push_back(candidate);
        }
        entries_.push_back(std::move(entry));
    }
    for (const WorkKind &kind : kinds_) {
        offered_.push_back({ kind.rank_, Duration{}, 0.0 });
    }
}

SimulationResults FloodSimulation::run()
{
    for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
        scheduleArrival(kind, false);
        if (kinds_[kind].rank_ == settings_.flood_.floodingRank_) {
            schedule(measureStart_, [this, kind] { scheduleArrival(kind, true); });
        }
    }
    distributeDigests();
    while (!events_.empty() && events_.top().at_ < measureEnd_ + completionTime) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at_;
        event.action_();
    }
    results_.slotTime_ = gateCount * settings_.deployment_.slots_ * settings_.measuredTime_;
    results_.worthUpperBound_ = worthUpperBound(offered_, results_.slotTime_);
    results_.worthUpperBoundWithShares_ =
            worthUpperBoundWithShares(offered_, results_.slotTime_, ranks_);
    return results_;
}

void FloodSimulation::schedule(TimePoint at, std::function<void()> action)
{
    events_.push(Event{ at, nextSequence_++, std::move(action) });
}

void FloodSimulation::scheduleArrival(std::size_t kind, bool isFlood)
{
    const WorkKind &workKind = kinds_[kind];
    const double baselineLoad = baselineLoads.at(workKind.rank_);
    const double load =
            isFlood ? settings_.flood_.load_.at(workKind.rank_) - baselineLoad : baselineLoad;
    const double slots = static_cast<double>(gateCount) * settings_.deployment_.slots_;
    const double rate = load * workKind.shareOfRank_ * slots / seconds(workKind.meanServiceTime_);
    const double gap = std::exponential_distribution<double>(rate)(arrivalRandom_);
    schedule(now_ + fromSeconds(gap), [this, kind, isFlood] { arrive(kind, isFlood); });
}

void FloodSimulation::arrive(std::size_t kind, bool isFlood)
{
    const WorkKind &workKind = kinds_[kind];
    std::lognormal_distribution<double> serviceTimeFactor(-serviceTimeSigma * serviceTimeSigma / 2,
                                                          serviceTimeSigma);
    Request request;
    request.kind_ = kind;
    request.entry_ = arrivalRandom_() % entryCount;
    request.workspace_ = isFlood ? baselineWorkspaces + arrivalRandom_() % floodingWorkspaces
                                 : arrivalRandom_() % baselineWorkspaces;
    request.arrivedAt_ = now_;
    request.serviceTime_ =
            fromSeconds(seconds(workKind.meanServiceTime_) * serviceTimeFactor(arrivalRandom_));
    request.isMeasured_ = isInMeasuredTime(now_);
    if (request.isMeasured_) {
        RankResults &rank = results_.ranks_.at(workKind.rank_);
        ++rank.offered_;
        rank.offeredSlotTime_ += request.serviceTime_;
        offered_[kind].slotTime_ += request.serviceTime_;
        offered_[kind].worth_ += workKind.worth_;
    }
    requests_.push_back(std::move(request));
    send(requests_.size() - 1);
    scheduleArrival(kind, isFlood);
}

void FloodSimulation::send(std::size_t id)
{
    Request &request = requests_[id];
    Entry &entry = entries_[request.entry_];
    std::vector<ServerCandidate> candidates = entry.candidates_;
    for (std::size_t gate = 0; gate < gateCount; ++gate) {
        if (candidates[gate].digest_) {
            candidates[gate].digest_->age_ = now_ - entry.digestTimes_[gate];
        }
    }
    for (const std::size_t gate : request.tried_) {
        candidates[gate].weight_ = 0.0;
    }
    const WorkKind &kind = kinds_[request.kind_];
    const Duration elapsed = now_ - request.arrivedAt_;
    const ServerRequest serverRequest{ Location{ regionOf(request.entry_), FailureDomainId() },
                                       kind.rank_, ranks_[kind.rank_].target_ - elapsed,
                                       kind.meanServiceTime_ };
    const std::size_t gate = chooser_.choose(candidates, serverRequest, chooserRandom_).value();
    request.tried_.push_back(gate);
    const bool isCrossRegion = regionOf(gate) != regionOf(request.entry_);
    results_.crossRegion_ += request.isMeasured_ && isCrossRegion ? 1 : 0;
    schedule(now_ + networkDelay(request.entry_, gate), [this, id, gate] { offer(id, gate); });
}

void FloodSimulation::offer(std::size_t id, std::size_t gate)
{
    const Request &request = requests_[id];
    const WorkKind &kind = kinds_[request.kind_];
    const TimePoint deadline =
            request.arrivedAt_ + kind.deadline_ - networkDelay(request.entry_, gate);
    AdmissionRequest admissionRequest{
        id,         kind.rank_,  WorkspaceId(std::to_string(request.workspace_)),
        kind.name_, kind.worth_, deadline
    };
    const Result<void> accepted = gates_[gate].offer(std::move(admissionRequest), now_);
    if (!accepted) {
        reply(id, gate, accepted.error().kind_);
    }
    startRequests(gate);
}

void FloodSimulation::startRequests(std::size_t gate)
{
    while (const auto admissionRequest = gates_[gate].startNext(now_)) {
        const std::size_t id = admissionRequest->id_;
        const TimePoint end = now_ + requests_[id].serviceTime_;
        // The server stops a request at its deadline.
        const bool isComplete = end <= admissionRequest->deadline_;
        schedule(std::min(end, admissionRequest->deadline_),
                 [this, id, gate, from = now_, isComplete] { finish(id, gate, from, isComplete); });
    }
    for (const DroppedRequest &dropped : gates_[gate].takeDroppedRequests(now_)) {
        reply(dropped.id_, gate, dropped.kind_);
    }
}

void FloodSimulation::finish(std::size_t id, std::size_t gate, TimePoint startedAt, bool isComplete)
{
    gates_[gate].finish(id, now_, isComplete);
    recordSlotTime(requests_[id], startedAt, isComplete);
    if (isComplete) {
        reply(id, gate, std::nullopt);
    } else {
        results_.lateAnswers_ += requests_[id].isMeasured_ ? 1 : 0;
    }
    startRequests(gate);
}

void FloodSimulation::recordSlotTime(const Request &request, TimePoint startedAt, bool isComplete)
{
    const WorkKind &kind = kinds_[request.kind_];
    const Duration used = std::min(now_, measureEnd_) - std::max(startedAt, measureStart_);
    results_.ranks_.at(kind.rank_).usedSlotTime_ += std::max(Duration{}, used);
    if (isComplete && isInMeasuredTime(now_)) {
        results_.worth_ += kind.worth_;
    }
}

void FloodSimulation::reply(std::size_t id, std::size_t gate, std::optional<ErrorKind> error)
{
    const std::size_t entryIndex = requests_[id].entry_;
    const TimePoint sentAt = now_;
    const auto receive = [this, id, gate, error, sentAt, digest = digestOf(gate)] {
        const Request &request = requests_[id];
        Entry &entry = entries_[request.entry_];
        entry.candidates_[gate].digest_ = digest;
        entry.digestTimes_[gate] = sentAt;
        if (error) {
            if (answerOf(*error).retryInFleet_ && request.tried_.size() < maxTries
                && entry.retryBudget_.tryAcquire(now_)) {
                send(id);
            }
            return;
        }
        entry.retryBudget_.recordSuccess();
        if (!request.isMeasured_) {
            return;
        }
        const WorkKind &kind = kinds_[request.kind_];
        RankResults &rank = results_.ranks_.at(kind.rank_);
        rank.withinTarget_ += now_ - request.arrivedAt_ <= ranks_[kind.rank_].target_ ? 1 : 0;
    };
    schedule(now_ + networkDelay(entryIndex, gate), receive);
}

void FloodSimulation::distributeDigests()
{
    for (std::size_t gate = 0; gate < gateCount; ++gate) {
        startRequests(gate);
        const QueueDigest digest = digestOf(gate);
        for (Entry &entry : entries_) {
            entry.candidates_[gate].digest_ = digest;
            entry.digestTimes_[gate] = now_;
        }
    }
    schedule(now_ + digestPeriod, [this] { distributeDigests(); });
}

QueueDigest FloodSimulation::digestOf(std::size_t gate) const
{
    const AdmissionQueue &queue = gates_[gate];
    QueueDigest digest{ queue.queued(), queue.running(), queue.slots(), {}, {} };
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        digest.waitByRank_.push_back(queue.estimatedWait(rank, now_));
    }
    return digest;
}

Duration FloodSimulation::networkDelay(std::size_t entry, std::size_t gate) const
{
    const bool isSameRegion = regionOf(entry) == regionOf(gate);
    return isSameRegion ? settings_.deployment_.withinRegion_
                        : settings_.deployment_.betweenRegions_;
}

} // namespace qz::floods
