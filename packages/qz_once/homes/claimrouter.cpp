// Routing of claim writes.
#include "qz_once/homes/claimrouter.h"

#include <cassert>
#include <iterator>
#include <utility>
#include <vector>

namespace qz {

ClaimRouter::Builder &ClaimRouter::Builder::setTimers(Timers &timers)
{
    timers_ = &timers;
    return *this;
}

ClaimRouter::Builder &ClaimRouter::Builder::setClock(const Clock &clock)
{
    clock_ = &clock;
    return *this;
}

ClaimRouter::Builder &ClaimRouter::Builder::setSelf(InstanceId self)
{
    self_ = std::move(self);
    return *this;
}

ClaimRouter::Builder &ClaimRouter::Builder::setSend(Send send)
{
    send_ = std::move(send);
    return *this;
}

ClaimRouter::Builder &ClaimRouter::Builder::setDirectWriter(RowWriter write)
{
    writeDirectly_ = std::move(write);
    return *this;
}

ClaimRouter::Builder &ClaimRouter::Builder::setLimits(ClaimRouterLimits limits)
{
    limits_ = limits;
    return *this;
}

std::unique_ptr<ClaimRouter> ClaimRouter::Builder::build() const
{
    assert(timers_ && clock_ && !self_.isEmpty() && send_ && writeDirectly_);
    return std::unique_ptr<ClaimRouter>(new ClaimRouter(*this));
}

ClaimRouter::ClaimRouter(const Builder &builder)
    : timers_(*builder.timers_)
    , clock_(*builder.clock_)
    , self_(builder.self_)
    , send_(builder.send_)
    , writeDirectly_(builder.writeDirectly_)
    , limits_(builder.limits_)
    , homes_(limits_.homes_)
{
}

void ClaimRouter::write(TableWrite write, RowWriteDone done)
{
    for (const InstanceId &home : homes_.homesOf(write.key_)) {
        if (home == self_) {
            break;
        }
        if (!isAvoided(home) && sendTo(home, write, done)) {
            return;
        }
    }
    writeDirectly_(std::move(write), std::move(done));
}

bool ClaimRouter::sendTo(const InstanceId &home, const TableWrite &write, const RowWriteDone &done)
{
    const std::uint64_t id = ++lastId_;
    const ClaimRequest request{ id, write.key_, write.expectedVersion_, write.value_.value_or("") };
    auto timeout = timers_.callAfter(limits_.answerLimit_, [this, id] { onTimeout(id); });
    pending_.emplace(id, Pending{ home, done, std::move(timeout) });
    if (!send_(home, request)) {
        pending_.erase(id);
        avoid(home);
        return false;
    }
    return true;
}

bool ClaimRouter::isAvoided(const InstanceId &home) const
{
    const auto until = avoidedUntil_.find(home);
    return until != avoidedUntil_.end() && clock_.now() < until->second;
}

void ClaimRouter::avoid(const InstanceId &home)
{
    const TimePoint now = clock_.now();
    for (auto entry = avoidedUntil_.begin(); entry != avoidedUntil_.end();) {
        entry = entry->second <= now ? avoidedUntil_.erase(entry) : std::next(entry);
    }
    avoidedUntil_[home] = now + limits_.avoidFor_;
}

void ClaimRouter::onAnswer(const InstanceId &home, const ClaimAnswer &answer)
{
    const auto pending = pending_.find(answer.id_);
    if (pending == pending_.end() || pending->second.home_ != home) {
        return;
    }
    switch (answer.result_) {
    case ClaimWriteResult::Applied:
        finish(answer.id_, RowWriteOutcome::Applied);
        return;
    case ClaimWriteResult::Conflict:
        finish(answer.id_, RowWriteOutcome::Conflict);
        return;
    case ClaimWriteResult::Unavailable:
        finish(answer.id_, failure(ErrorKind::StoreUnavailable, "refused at the claim home"));
        return;
    case ClaimWriteResult::Undecided:
        break;
    }
    finish(answer.id_, failure(ErrorKind::StoreTimeout, "undecided at the claim home"));
}

void ClaimRouter::onLinkLost(const InstanceId &home)
{
    avoid(home);
    std::vector<std::uint64_t> lost;
    for (const auto &[id, pending] : pending_) {
        if (pending.home_ == home) {
            lost.push_back(id);
        }
    }
    for (const std::uint64_t id : lost) {
        finish(id, failure(ErrorKind::StoreTimeout, "the claim home was lost"));
    }
}

void ClaimRouter::onTimeout(std::uint64_t id)
{
    const auto pending = pending_.find(id);
    if (pending == pending_.end()) {
        return;
    }
    avoid(pending->second.home_);
    finish(id, failure(ErrorKind::StoreTimeout, "the claim home did not answer in time"));
}

void ClaimRouter::finish(std::uint64_t id, const Result<RowWriteOutcome> &outcome)
{
    const auto pending = pending_.find(id);
    if (pending == pending_.end()) {
        return;
    }
    const RowWriteDone done = std::move(pending->second.done_);
    pending_.erase(pending);
    done(outcome);
}

} // namespace qz
