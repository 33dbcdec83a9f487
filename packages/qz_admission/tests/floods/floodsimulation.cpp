// One run of the flood measurement.
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
constexpr std::uint64_t usualWorkspaces = 50;
constexpr std::uint64_t floodingWorkspaces = 5;
constexpr double serviceSigma = 0.5;                     // Of the logarithm of a service time.
constexpr Duration settleTime = std::chrono::seconds(3); // The longest target.
constexpr Duration gossipPeriod = std::chrono::milliseconds(500);

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
    , start_(now_ + settings_.warmUp_)
    , end_(start_ + settings_.measured_)
    , arrivals_(settings_.seed_)
    , choices_(settings_.seed_ + 1)
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
            candidate.roundTrip_ = 2 * distance(index, gate);
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
            schedule(start_, [this, kind] { scheduleArrival(kind, true); });
        }
    }
    gossip();
    while (!events_.empty() && events_.top().at_ < end_ + settleTime) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at_;
        event.work_();
    }
    figures_.slotTime_ = gateCount * settings_.deployment_.slots_ * settings_.measured_;
    figures_.bound_ = worthBound(offered_, figures_.slotTime_);
    figures_.boundWithShares_ = worthBoundWithShares(offered_, figures_.slotTime_, ranks_);
    return figures_;
}

void FloodSimulation::schedule(TimePoint at, std::function<void()> work)
{
    events_.push(Event{ at, nextOrder_++, std::move(work) });
}

void FloodSimulation::scheduleArrival(std::size_t kind, bool isFlood)
{
    const WorkKind &work = kinds_[kind];
    const double usual = usualLoad.at(work.rank_);
    const double load = isFlood ? settings_.flood_.load_.at(work.rank_) - usual : usual;
    const double slots = static_cast<double>(gateCount) * settings_.deployment_.slots_;
    const double rate = load * work.partOfRank_ * slots / seconds(work.meanService_);
    const double gap = std::exponential_distribution<double>(rate)(arrivals_);
    schedule(now_ + fromSeconds(gap), [this, kind, isFlood] { arrive(kind, isFlood); });
}

void FloodSimulation::arrive(std::size_t kind, bool isFlood)
{
    const WorkKind &work = kinds_[kind];
    std::lognormal_distribution<double> spread(-serviceSigma * serviceSigma / 2, serviceSigma);
    Request request;
    request.kind_ = kind;
    request.entry_ = arrivals_() % entryCount;
    request.workspace_ = isFlood ? usualWorkspaces + arrivals_() % floodingWorkspaces
                                 : arrivals_() % usualWorkspaces;
    request.arrivedAt_ = now_;
    request.service_ = fromSeconds(seconds(work.meanService_) * spread(arrivals_));
    request.isMeasured_ = isInMeasuredTime(now_);
    if (request.isMeasured_) {
        RankResults &rank = figures_.ranks_.at(work.rank_);
        ++rank.offered_;
        rank.offeredSlotTime_ += request.service_;
        offered_[kind].slotTime_ += request.service_;
        offered_[kind].worth_ += work.worth_;
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
            candidates[gate].digest_->age_ = now_ - entry.digestsAt_[gate];
        }
    }
    for (const std::size_t gate : request.tried_) {
        candidates[gate].weight_ = 0.0;
    }
    const WorkKind &kind = kinds_[request.kind_];
    const Duration passed = now_ - request.arrivedAt_;
    const ServerRequest wanted{ Location{ regionOf(request.entry_), FailureDomainId() }, kind.rank_,
                                ranks_[kind.rank_].target_ - passed, kind.meanService_ };
    const std::size_t gate = chooser_.choose(candidates, wanted, choices_).value();
    request.tried_.push_back(gate);
    const bool isCross = regionOf(gate) != regionOf(request.entry_);
    figures_.crossRegion_ += request.isMeasured_ && isCross ? 1 : 0;
    schedule(now_ + distance(request.entry_, gate), [this, id, gate] { offer(id, gate); });
}

void FloodSimulation::offer(std::size_t id, std::size_t gate)
{
    const Request &request = requests_[id];
    const WorkKind &kind = kinds_[request.kind_];
    const TimePoint deadline = request.arrivedAt_ + kind.deadline_ - distance(request.entry_, gate);
    AdmissionRequest ticket{
        id,         kind.rank_,  WorkspaceId(std::to_string(request.workspace_)),
        kind.name_, kind.worth_, deadline
    };
    const Result<void> taken = gates_[gate].offer(std::move(ticket), now_);
    if (!taken) {
        reply(id, gate, taken.error().kind_);
    }
    pump(gate);
}

void FloodSimulation::pump(std::size_t gate)
{
    while (const auto ticket = gates_[gate].startNext(now_)) {
        const std::size_t id = ticket->id_;
        const TimePoint end = now_ + requests_[id].service_;
        const bool isWhole = end <= ticket->deadline_; // Otherwise the server stops there.
        schedule(std::min(end, ticket->deadline_),
                 [this, id, gate, from = now_, isWhole] { finish(id, gate, from, isWhole); });
    }
    for (const DroppedRequest &dropped : gates_[gate].takeDroppedRequests(now_)) {
        reply(dropped.id_, gate, dropped.kind_);
    }
}

void FloodSimulation::finish(std::size_t id, std::size_t gate, TimePoint startedAt, bool isWhole)
{
    gates_[gate].finish(id, now_, isWhole);
    measureService(requests_[id], startedAt, isWhole);
    if (isWhole) {
        reply(id, gate, std::nullopt);
    } else {
        figures_.lateAnswers_ += requests_[id].isMeasured_ ? 1 : 0;
    }
    pump(gate);
}

void FloodSimulation::measureService(const Request &request, TimePoint startedAt, bool isWhole)
{
    const WorkKind &kind = kinds_[request.kind_];
    const Duration used = std::min(now_, end_) - std::max(startedAt, start_);
    figures_.ranks_.at(kind.rank_).usedSlotTime_ += std::max(Duration{}, used);
    if (isWhole && isInMeasuredTime(now_)) {
        figures_.worth_ += kind.worth_;
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
        entry.digestsAt_[gate] = sentAt;
        if (error) {
            if (answerOf(*error).retryInFleet_ && request.tried_.size() < maxTries
                && entry.retries_.tryAcquire(now_)) {
                send(id);
            }
            return;
        }
        entry.retries_.recordSuccess();
        if (!request.isMeasured_) {
            return;
        }
        const WorkKind &kind = kinds_[request.kind_];
        RankResults &rank = figures_.ranks_.at(kind.rank_);
        rank.inTarget_ += now_ - request.arrivedAt_ <= ranks_[kind.rank_].target_ ? 1 : 0;
    };
    schedule(now_ + distance(entryIndex, gate), receive);
}

void FloodSimulation::gossip()
{
    for (std::size_t gate = 0; gate < gateCount; ++gate) {
        pump(gate);
        const QueueDigest digest = digestOf(gate);
        for (Entry &entry : entries_) {
            entry.candidates_[gate].digest_ = digest;
            entry.digestsAt_[gate] = now_;
        }
    }
    schedule(now_ + gossipPeriod, [this] { gossip(); });
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

Duration FloodSimulation::distance(std::size_t entry, std::size_t gate) const
{
    const bool isNear = regionOf(entry) == regionOf(gate);
    return isNear ? settings_.deployment_.withinRegion_ : settings_.deployment_.betweenRegions_;
}

} // namespace qz::floods
