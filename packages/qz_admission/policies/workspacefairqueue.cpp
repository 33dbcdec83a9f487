// Start-time fair queueing between workspaces.
#include "qz_admission/policies/workspacefairqueue.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace qz {

namespace {

/// Stands in for service times that aren't known yet.
constexpr Duration shortestService = std::chrono::microseconds(1);

/// How many of the least worthy tickets are looked at for one that may be given up.
constexpr int maxLookedAt = 8;

} // namespace

WorkspaceFairQueue::Position WorkspaceFairQueue::positionOf(const QueuedRequest &queued)
{
    return { queued.request_.deadline_, queued.sequence_ };
}

WorkspaceFairQueue::Rating WorkspaceFairQueue::ratingOf(const QueuedRequest &queued)
{
    const Duration expected = std::max(queued.expected_, shortestService);
    const double seconds = std::chrono::duration<double>(expected).count();
    return { queued.request_.worth_ / seconds, queued.sequence_ };
}

double WorkspaceFairQueue::virtualTime(Duration time, double weight)
{
    return std::chrono::duration<double>(time).count() / weight;
}

double WorkspaceFairQueue::lengthOf(const Flow &flow)
{
    // Counted in tickets, so that it means something before any service time is known.
    return static_cast<double>(flow.waiting_.size()) / flow.weight_;
}

void WorkspaceFairQueue::link(Flow &flow)
{
    active_.emplace(Tag{ flow.tag_, flow.order_ }, &flow);
    lengths_.emplace(Tag{ lengthOf(flow), flow.order_ }, &flow);
    activeWeight_ += flow.weight_;
}

void WorkspaceFairQueue::unlink(const Flow &flow)
{
    active_.erase(Tag{ flow.tag_, flow.order_ });
    lengths_.erase(Tag{ lengthOf(flow), flow.order_ });
    activeWeight_ -= flow.weight_;
}

void WorkspaceFairQueue::insert(const QueuedRequest &queued)
{
    assert(queued.request_.weight_ > 0.0);
    const auto [known, isNew] = flows_.try_emplace(queued.request_.workspace_);
    Flow &flow = known->second;
    if (isNew) {
        flow.order_ = nextOrder_++;
    }
    if (flow.waiting_.empty()) {
        idle_.erase(Tag{ flow.tag_, flow.order_ });
        flow.tag_ = std::max(flow.tag_, virtualTime_);
    } else {
        unlink(flow);
    }
    flow.weight_ = queued.request_.weight_;
    flow.waiting_.emplace(positionOf(queued), Waiting{ queued.request_.id_, queued.expected_ });
    ratings_.emplace(ratingOf(queued), Rated{ queued.request_.id_, &flow });
    flow.work_ += queued.expected_;
    work_ += queued.expected_;
    ++size_;
    link(flow);
}

void WorkspaceFairQueue::takeOut(Flow &flow, const QueuedRequest &queued)
{
    unlink(flow);
    flow.waiting_.erase(positionOf(queued));
    ratings_.erase(ratingOf(queued));
    flow.work_ -= queued.expected_;
    work_ -= queued.expected_;
    --size_;
    if (flow.waiting_.empty()) {
        idle_.emplace(Tag{ flow.tag_, flow.order_ }, queued.request_.workspace_);
    } else {
        link(flow);
    }
}

void WorkspaceFairQueue::erase(const QueuedRequest &queued)
{
    takeOut(flows_.at(queued.request_.workspace_), queued);
    forgetIdle();
}

void WorkspaceFairQueue::start(const QueuedRequest &queued)
{
    Flow &flow = flows_.at(queued.request_.workspace_);
    virtualTime_ = std::max(virtualTime_, flow.tag_);
    takeOut(flow, queued);
    moveTag(flow, flow.tag_ + virtualTime(queued.expected_, flow.weight_));
    forgetIdle();
}

void WorkspaceFairQueue::finish(const QueuedRequest &queued, Duration used)
{
    const auto known = flows_.find(queued.request_.workspace_);
    if (known == flows_.end()) {
        return; // The others had caught up.
    }
    Flow &flow = known->second;
    const double correction = virtualTime(used - queued.expected_, flow.weight_);
    moveTag(flow, std::max(flow.tag_ + correction, virtualTime_));
    forgetIdle();
}

void WorkspaceFairQueue::moveTag(Flow &flow, double tag)
{
    const Tag before{ flow.tag_, flow.order_ };
    flow.tag_ = tag;
    if (flow.waiting_.empty()) {
        auto node = idle_.extract(before);
        node.key() = Tag{ tag, flow.order_ };
        idle_.insert(std::move(node));
    } else {
        active_.erase(before);
        active_.emplace(Tag{ tag, flow.order_ }, &flow);
    }
}

void WorkspaceFairQueue::forgetIdle()
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
    return active_.begin()->second->waiting_.begin()->second.id_;
}

Duration WorkspaceFairQueue::frontExpected() const
{
    assert(!isEmpty());
    return active_.begin()->second->waiting_.begin()->second.expected_;
}

std::uint64_t WorkspaceFairQueue::lastIdOfLongestFlow() const
{
    assert(!isEmpty());
    return lengths_.rbegin()->second->waiting_.rbegin()->second.id_;
}

double WorkspaceFairQueue::lengthWith(const QueuedRequest &queued) const
{
    const auto known = flows_.find(queued.request_.workspace_);
    const std::size_t held = known == flows_.end() ? 0 : known->second.waiting_.size();
    return static_cast<double>(held + 1) / queued.request_.weight_;
}

bool WorkspaceFairQueue::isShorterThanLongestFlow(const QueuedRequest &queued) const
{
    return !isEmpty() && lengthWith(queued) < lengths_.rbegin()->first.value_;
}

std::optional<std::uint64_t> WorkspaceFairQueue::findLowerWorth(const QueuedRequest &queued) const
{
    const auto known = flows_.find(queued.request_.workspace_);
    const Flow *own = known == flows_.end() ? nullptr : &known->second;
    const double length = lengthWith(queued);
    const double density = ratingOf(queued).density_;
    int lookedAt = 0;
    for (const auto &[rating, rated] : ratings_) {
        if (rating.density_ >= density || lookedAt == maxLookedAt) {
            return std::nullopt;
        }
        if (rated.flow_ == own || lengthOf(*rated.flow_) >= length) {
            return rated.id_;
        }
        ++lookedAt;
    }
    return std::nullopt;
}

Duration WorkspaceFairQueue::workAhead(const QueuedRequest &queued) const
{
    const double weight = queued.request_.weight_;
    const auto known = flows_.find(queued.request_.workspace_);
    if (known == flows_.end() || known->second.waiting_.empty()) {
        return otherWorkAhead(queued.expected_, weight, Duration{}, 0.0);
    }
    const Flow &flow = known->second;
    Duration earlier = flow.work_;
    const Position position = positionOf(queued);
    for (auto later = flow.waiting_.rbegin();
         later != flow.waiting_.rend() && position < later->first; ++later) {
        earlier -= later->second.expected_;
    }
    const Duration own = earlier + queued.expected_;
    return earlier + otherWorkAhead(own, weight, flow.work_, flow.weight_);
}

Duration WorkspaceFairQueue::workAheadOfNewWorkspace(Duration expected) const
{
    return otherWorkAhead(expected, 1.0, Duration{}, 0.0);
}

Duration WorkspaceFairQueue::otherWorkAhead(Duration own, double weight, Duration ownWork,
                                            double ownActiveWeight) const
{
    const double otherWeight = activeWeight_ - ownActiveWeight;
    const double fair = static_cast<double>(own.count()) * otherWeight / weight;
    const Duration others = work_ - ownWork;
    return std::min(others, Duration(static_cast<Duration::rep>(fair)));
}

} // namespace qz
