// Start-time fair queueing between workspaces.
#include "qz_admission/policies/workspacefairqueue.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace qz {

namespace {

/// Lower bound that avoids a division by zero while a service time is not known yet.
constexpr Duration minServiceTime = std::chrono::microseconds(1);

/// How many of the requests of the least worth are examined in the search for one to drop.
constexpr int maxExamined = 8;

} // namespace

WorkspaceFairQueue::DeadlineKey WorkspaceFairQueue::deadlineKeyOf(const QueuedRequest &queued)
{
    return { queued.request_.deadline_, queued.sequence_ };
}

WorkspaceFairQueue::WorthKey WorkspaceFairQueue::worthKeyOf(const QueuedRequest &queued)
{
    const Duration expected = std::max(queued.expected_, minServiceTime);
    const double seconds = std::chrono::duration<double>(expected).count();
    return { queued.request_.worth_ / seconds, queued.sequence_ };
}

double WorkspaceFairQueue::virtualTime(Duration time, double weight)
{
    return std::chrono::duration<double>(time).count() / weight;
}

double WorkspaceFairQueue::weightedLength(const Flow &flow)
{
    // Counts requests rather than work, because no service time is known at first.
    return static_cast<double>(flow.requests_.size()) / flow.weight_;
}

void WorkspaceFairQueue::addToIndexes(Flow &flow)
{
    active_.emplace(FlowKey{ flow.startTag_, flow.order_ }, &flow);
    byLength_.emplace(FlowKey{ weightedLength(flow), flow.order_ }, &flow);
    activeWeight_ += flow.weight_;
}

void WorkspaceFairQueue::removeFromIndexes(const Flow &flow)
{
    active_.erase(FlowKey{ flow.startTag_, flow.order_ });
    byLength_.erase(FlowKey{ weightedLength(flow), flow.order_ });
    activeWeight_ -= flow.weight_;
}

void WorkspaceFairQueue::insert(const QueuedRequest &queued)
{
    assert(queued.request_.weight_ > 0.0);
    const auto [found, isNew] = flows_.try_emplace(queued.request_.workspace_);
    Flow &flow = found->second;
    if (isNew) {
        flow.order_ = nextOrder_++;
    }
    if (flow.requests_.empty()) {
        idle_.erase(FlowKey{ flow.startTag_, flow.order_ });
        flow.startTag_ = std::max(flow.startTag_, virtualTime_);
    } else {
        removeFromIndexes(flow);
    }
    flow.weight_ = queued.request_.weight_;
    flow.requests_.emplace(deadlineKeyOf(queued),
                           FlowEntry{ queued.request_.id_, queued.expected_ });
    byWorth_.emplace(worthKeyOf(queued), WorthEntry{ queued.request_.id_, &flow });
    flow.work_ += queued.expected_;
    work_ += queued.expected_;
    ++size_;
    addToIndexes(flow);
}

void WorkspaceFairQueue::remove(Flow &flow, const QueuedRequest &queued)
{
    removeFromIndexes(flow);
    flow.requests_.erase(deadlineKeyOf(queued));
    byWorth_.erase(worthKeyOf(queued));
    flow.work_ -= queued.expected_;
    work_ -= queued.expected_;
    --size_;
    if (flow.requests_.empty()) {
        idle_.emplace(FlowKey{ flow.startTag_, flow.order_ }, queued.request_.workspace_);
    } else {
        addToIndexes(flow);
    }
}

void WorkspaceFairQueue::erase(const QueuedRequest &queued)
{
    remove(flows_.at(queued.request_.workspace_), queued);
    removeIdleFlows();
}

void WorkspaceFairQueue::start(const QueuedRequest &queued)
{
    Flow &flow = flows_.at(queued.request_.workspace_);
    virtualTime_ = std::max(virtualTime_, flow.startTag_);
    remove(flow, queued);
    setStartTag(flow, flow.startTag_ + virtualTime(queued.expected_, flow.weight_));
    removeIdleFlows();
}

void WorkspaceFairQueue::finish(const QueuedRequest &queued, Duration used)
{
    const auto found = flows_.find(queued.request_.workspace_);
    if (found == flows_.end()) {
        return; // The flow was removed: the other flows had caught up with it.
    }
    Flow &flow = found->second;
    const double correction = virtualTime(used - queued.expected_, flow.weight_);
    setStartTag(flow, std::max(flow.startTag_ + correction, virtualTime_));
    removeIdleFlows();
}

void WorkspaceFairQueue::setStartTag(Flow &flow, double tag)
{
    const FlowKey oldKey{ flow.startTag_, flow.order_ };
    flow.startTag_ = tag;
    if (flow.requests_.empty()) {
        auto node = idle_.extract(oldKey);
        node.key() = FlowKey{ tag, flow.order_ };
        idle_.insert(std::move(node));
    } else {
        active_.erase(oldKey);
        active_.emplace(FlowKey{ tag, flow.order_ }, &flow);
    }
}

void WorkspaceFairQueue::removeIdleFlows()
{
    if (active_.empty() && !idle_.empty()) {
        virtualTime_ = std::max(virtualTime_, idle_.rbegin()->first.value_);
    }
    while (!idle_.empty() && idle_.begin()->first.value_ <= virtualTime_) {
        flows_.erase(idle_.begin()->second);
        idle_.erase(idle_.begin());
    }
}

std::uint64_t WorkspaceFairQueue::frontId() const
{
    assert(!isEmpty());
    return active_.begin()->second->requests_.begin()->second.id_;
}

Duration WorkspaceFairQueue::frontExpected() const
{
    assert(!isEmpty());
    return active_.begin()->second->requests_.begin()->second.expected_;
}

std::uint64_t WorkspaceFairQueue::lastIdOfLongestFlow() const
{
    assert(!isEmpty());
    return byLength_.rbegin()->second->requests_.rbegin()->second.id_;
}

double WorkspaceFairQueue::weightedLengthWith(const QueuedRequest &queued) const
{
    const auto found = flows_.find(queued.request_.workspace_);
    const std::size_t queuedCount = found == flows_.end() ? 0 : found->second.requests_.size();
    return static_cast<double>(queuedCount + 1) / queued.request_.weight_;
}

bool WorkspaceFairQueue::isShorterThanLongestFlow(const QueuedRequest &queued) const
{
    return !isEmpty() && weightedLengthWith(queued) < byLength_.rbegin()->first.value_;
}

std::optional<std::uint64_t> WorkspaceFairQueue::findLowerWorth(const QueuedRequest &queued) const
{
    const auto found = flows_.find(queued.request_.workspace_);
    const Flow *own = found == flows_.end() ? nullptr : &found->second;
    const double length = weightedLengthWith(queued);
    const double worthPerSecond = worthKeyOf(queued).worthPerSecond_;
    int examined = 0;
    for (const auto &[worthKey, entry] : byWorth_) {
        if (worthKey.worthPerSecond_ >= worthPerSecond || examined == maxExamined) {
            return std::nullopt;
        }
        if (entry.flow_ == own || weightedLength(*entry.flow_) >= length) {
            return entry.id_;
        }
        ++examined;
    }
    return std::nullopt;
}

Duration WorkspaceFairQueue::workAhead(const QueuedRequest &queued) const
{
    const double weight = queued.request_.weight_;
    const auto found = flows_.find(queued.request_.workspace_);
    if (found == flows_.end() || found->second.requests_.empty()) {
        return workOfOthersAhead(queued.expected_, weight, Duration{}, 0.0);
    }
    const Flow &flow = found->second;
    Duration earlier = flow.work_;
    const DeadlineKey deadlineKey = deadlineKeyOf(queued);
    for (auto later = flow.requests_.rbegin();
         later != flow.requests_.rend() && deadlineKey < later->first; ++later) {
        earlier -= later->second.expected_;
    }
    const Duration own = earlier + queued.expected_;
    return earlier + workOfOthersAhead(own, weight, flow.work_, flow.weight_);
}

Duration WorkspaceFairQueue::workAheadOfNewWorkspace(Duration expected) const
{
    return workOfOthersAhead(expected, 1.0, Duration{}, 0.0);
}

Duration WorkspaceFairQueue::workOfOthersAhead(Duration own, double weight, Duration ownWork,
                                               double ownActiveWeight) const
{
    const double otherWeight = activeWeight_ - ownActiveWeight;
    const double fair = static_cast<double>(own.count()) * otherWeight / weight;
    const Duration others = work_ - ownWork;
    return std::min(others, Duration(static_cast<Duration::rep>(fair)));
}

} // namespace qz
