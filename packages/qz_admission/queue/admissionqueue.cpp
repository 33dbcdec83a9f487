// The queue of requests that wait for the slots of one backend server.
#include "qz_admission/queue/admissionqueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace qz {

namespace {

/// An overload ends after this time without refusals, in multiples of the rank's target.
constexpr int overloadQuietPeriodInTargets = 2;

} // namespace

AdmissionQueue::Builder &AdmissionQueue::Builder::setSlots(int slots)
{
    slots_ = slots;
    return *this;
}

AdmissionQueue::Builder &AdmissionQueue::Builder::setRanks(std::vector<RankShare> ranks)
{
    ranks_ = std::move(ranks);
    return *this;
}

AdmissionQueue::Builder &AdmissionQueue::Builder::setMaxQueued(std::size_t maxQueued)
{
    maxQueued_ = maxQueued;
    return *this;
}

AdmissionQueue::Builder &AdmissionQueue::Builder::setPolicy(AdmissionPolicy policy)
{
    policy_ = std::move(policy);
    return *this;
}

AdmissionQueue AdmissionQueue::Builder::build()
{
    AdmissionQueue queue;
    queue.policy_ = std::move(policy_);
    queue.maxQueued_ = maxQueued_;
    queue.slots_ = slots_;
    queue.setRanks(std::move(ranks_));
    return queue;
}

Result<void> AdmissionQueue::offer(AdmissionRequest request, TimePoint now)
{
    assert(queued_.count(request.id_) == 0 && running_.count(request.id_) == 0);
    latestTime_ = std::max(latestTime_, now);
    dropExpired(now);
    request.rank_ = std::min(request.rank_, ranks_.size() - 1);
    const Duration expected = serviceTimes_.expected(request.kind_);
    QueuedRequest queued{ std::move(request), nextSequence_++, now, {}, expected };
    queued.predictedWait_ = predictedWait(queued, now);
    BOOST_OUTCOME_TRY(ensureTimeLimit(queued, now));
    if (!ensureQueueSpace(queued, now)) {
        recordOverload(queued, now);
        return failure(ErrorKind::QueueFull, "the queue is full of work that goes first");
    }
    insert(std::move(queued), now);
    return success();
}

Duration AdmissionQueue::predictedWait(const QueuedRequest &queued, TimePoint now) const
{
    const SlotLoad load = slotLoad(now);
    return std::visit([&](const auto &policy) { return policy.wait(queued, load); }, policy_);
}

TimePoint AdmissionQueue::expectedAnswerTime(const QueuedRequest &queued, TimePoint now) const
{
    const WaitCorrection &correction = waitCorrections_[queued.request_.rank_];
    const Duration wait = correction.corrected(queued.predictedWait_);
    return now + wait + serviceTimes_.conservative(queued.request_.kind_);
}

Duration AdmissionQueue::targetOf(std::size_t rank) const
{
    return ranks_[std::min(rank, ranks_.size() - 1)].target_;
}

bool AdmissionQueue::isLimitedToTarget(std::size_t rank, TimePoint now) const
{
    const bool isLimiting =
            std::visit([](const auto &policy) { return policy.limitsOverloadToTarget(); }, policy_);
    const Duration target = targetOf(rank);
    return isLimiting && target > Duration{}
    && overloadDetectors_[rank].isOverloaded(now, overloadQuietPeriodInTargets * target);
}

Result<void> AdmissionQueue::ensureTimeLimit(const QueuedRequest &queued, TimePoint now)
{
    const std::size_t rank = queued.request_.rank_;
    const TimePoint answerTime = expectedAnswerTime(queued, now);
    const TimePoint targetTime = now + targetOf(rank);
    const TimePoint deadline = queued.request_.deadline_;
    const TimePoint limit =
            isLimitedToTarget(rank, now) ? std::min(deadline, targetTime) : deadline;
    if (answerTime <= limit || displaceLowerWorth(queued, answerTime - limit, now)) {
        return success();
    }
    if (answerTime > targetTime) {
        overloadDetectors_[rank].recordRefusal(now);
    }
    if (answerTime <= deadline) {
        return failure(ErrorKind::QueueFull, "the rank is overloaded up to its target");
    }
    return failure(ErrorKind::DeadlineUnreachable, "the work ahead leaves no time to answer");
}

bool AdmissionQueue::displaceLowerWorth(const QueuedRequest &queued, Duration excess, TimePoint now)
{
    const auto lowerWorth =
            std::visit([&](const auto &policy) { return policy.findLowerWorth(queued); }, policy_);
    if (!lowerWorth || excess > queued_.at(*lowerWorth).expected_ / std::max(1, slots_)) {
        return false;
    }
    drop(*lowerWorth, ErrorKind::DeadlineUnreachable, now);
    return true;
}

void AdmissionQueue::recordOverload(const QueuedRequest &queued, TimePoint now)
{
    overloadDetectors_[queued.request_.rank_].recordRefusal(now);
}

bool AdmissionQueue::ensureQueueSpace(const QueuedRequest &queued, TimePoint now)
{
    if (queued_.size() < maxQueued_) {
        return true;
    }
    const auto victim = std::visit(
            [&](const auto &policy) { return policy.victim(queued, maxQueued_); }, policy_);
    if (!victim) {
        return false;
    }
    recordOverload(queued_.at(*victim), now);
    drop(*victim, ErrorKind::QueueFull, now);
    return true;
}

void AdmissionQueue::insert(QueuedRequest queued, TimePoint now)
{
    std::visit([&](auto &policy) { policy.insert(queued, now); }, policy_);
    expiries_.insert(expiryOf(queued));
    const std::uint64_t id = queued.request_.id_;
    queued_.emplace(id, std::move(queued));
}

AdmissionQueue::Expiry AdmissionQueue::expiryOf(const QueuedRequest &queued)
{
    return { queued.request_.deadline_ - queued.expected_, queued.request_.id_ };
}

std::optional<AdmissionRequest> AdmissionQueue::startNext(TimePoint now)
{
    latestTime_ = std::max(latestTime_, now);
    if (running_.size() >= static_cast<std::size_t>(std::max(0, slots_))) {
        return std::nullopt;
    }
    dropExpired(now);
    const auto id = std::visit([now](auto &policy) { return policy.next(now); }, policy_);
    if (!id) {
        return std::nullopt;
    }
    auto node = queued_.extract(*id);
    assert(!node.empty());
    QueuedRequest &queued = node.mapped();
    expiries_.erase(expiryOf(queued));
    WaitCorrection &correction = waitCorrections_[queued.request_.rank_];
    correction.record(queued.predictedWait_, now - queued.offeredAt_);
    std::visit([&](auto &policy) { policy.start(queued, now); }, policy_);
    AdmissionRequest request = queued.request_;
    running_.emplace(*id, RunningRequest{ std::move(queued), now });
    return request;
}

void AdmissionQueue::finish(std::uint64_t id, TimePoint now, bool recordServiceTime)
{
    latestTime_ = std::max(latestTime_, now);
    const auto node = running_.extract(id);
    if (node.empty()) {
        return;
    }
    const RunningRequest &running = node.mapped();
    const Duration used = now - running.startedAt_;
    if (recordServiceTime) {
        serviceTimes_.record(running.queued_.request_.kind_, used);
    }
    std::visit([&](auto &policy) { policy.finish(running.queued_, used, now); }, policy_);
}

bool AdmissionQueue::cancel(std::uint64_t id)
{
    const auto node = queued_.extract(id);
    if (node.empty()) {
        return false;
    }
    expiries_.erase(expiryOf(node.mapped()));
    std::visit([&](auto &policy) { policy.erase(node.mapped(), latestTime_); }, policy_);
    return true;
}

void AdmissionQueue::drop(std::uint64_t id, ErrorKind kind, TimePoint now)
{
    latestTime_ = std::max(latestTime_, now);
    const bool wasQueued = cancel(id);
    assert(wasQueued);
    static_cast<void>(wasQueued);
    dropped_.push_back(DroppedRequest{ id, kind });
}

void AdmissionQueue::dropExpired(TimePoint now)
{
    while (!expiries_.empty() && expiries_.begin()->latestStart_ < now) {
        const QueuedRequest &queued = queued_.at(expiries_.begin()->id_);
        if (now - queued.offeredAt_ > targetOf(queued.request_.rank_)) {
            recordOverload(queued, now);
        }
        drop(queued.request_.id_, ErrorKind::DeadlineExpiredInQueue, now);
    }
}

std::vector<DroppedRequest> AdmissionQueue::takeDroppedRequests(TimePoint now)
{
    latestTime_ = std::max(latestTime_, now);
    dropExpired(now);
    return std::exchange(dropped_, {});
}

void AdmissionQueue::setSlots(int slots)
{
    slots_ = slots;
    const int countedSlots = std::max(1, slots_);
    std::visit([&](auto &policy) { policy.configure(countedSlots, ranks_, latestTime_); }, policy_);
}

void AdmissionQueue::setRanks(std::vector<RankShare> ranks)
{
    assert(!ranks.empty());
    ranks_ = std::move(ranks);
    overloadDetectors_.resize(std::max(overloadDetectors_.size(), ranks_.size()));
    waitCorrections_.resize(overloadDetectors_.size());
    setSlots(slots_);
}

SlotLoad AdmissionQueue::slotLoad(TimePoint now) const
{
    SlotLoad load;
    load.slots_ = std::max(1, slots_);
    load.hasFreeSlot_ = running_.size() < static_cast<std::size_t>(load.slots_);
    if (load.hasFreeSlot_) {
        return load;
    }
    for (const auto &[id, running] : running_) {
        const TimePoint end = running.startedAt_ + running.queued_.expected_;
        load.remaining_ += std::max(Duration{}, end - now);
    }
    return load;
}

Duration AdmissionQueue::estimatedWait(std::size_t rank, TimePoint now) const
{
    const std::size_t boundedRank = std::min(rank, ranks_.size() - 1);
    const SlotLoad load = slotLoad(now);
    return std::visit([&](const auto &policy) { return policy.waitOfRank(boundedRank, load); },
                      policy_);
}

nlohmann::json AdmissionQueue::dumpState() const
{
    return { { "slots", slots_ },
             { "max_queued", maxQueued_ },
             { "queued", queued() },
             { "running", running() },
             { "policy", std::visit([](const auto &policy) { return policy.dump(); }, policy_) } };
}

} // namespace qz
