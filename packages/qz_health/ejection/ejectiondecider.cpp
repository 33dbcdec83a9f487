#include "qz_health/ejection/ejectiondecider.h"

#include "qz_health/ejection/holddown.h"

#include <algorithm>
#include <tuple>

namespace qz {

namespace {

/// Time from a read to the next one if there is nothing to write.
constexpr Duration pollPeriod = std::chrono::seconds(5);
constexpr Duration readRetryPeriod = std::chrono::milliseconds(500);
/// Time that a server must be listed live, or be absent, before its withdrawal is cleared.
constexpr Duration withdrawalClearDelay = std::chrono::seconds(15);

} // namespace

EjectionDecider::EjectionDecider(ServiceId service, double floor)
    : service_(std::move(service))
    , floor_(floor)
{
}

void EjectionDecider::setMembers(std::vector<ServiceMember> members, TimePoint now)
{
    for (const ServiceMember &previous : members_) {
        const bool isGone = std::none_of(members.begin(), members.end(), [&](const auto &member) {
            return member.id_ == previous.id_;
        });
        if (isGone) {
            withdrawnAt_[previous.id_] = now;
            review_.remove(previous.id_);
        }
    }
    members_ = std::move(members);
}

void EjectionDecider::onReport(const GateReport &report, TimePoint now)
{
    review_.onReport(report, now);
    if (!report.enforcesEjection_) {
        RowVersion &confirmed = confirmed_[report.server_];
        confirmed = std::max(confirmed, report.rowVersion_);
    }
}

void EjectionDecider::onOpinion(const SecondOpinion &opinion, TimePoint now)
{
    review_.onOpinion(opinion, now);
}

void EjectionDecider::onProbeResult(const BackendServerId &server, bool succeeded, TimePoint now)
{
    probes_.onProbeResult(server, succeeded, now);
}

void EjectionDecider::onRowRead(const std::optional<TableRow> &row, TimePoint now)
{
    if (row) {
        auto decoded = decodeEjectionRow(row->value_);
        if (!decoded) {
            onReadFailed(now);
            return;
        }
        row_ = std::move(decoded.value());
        version_ = row->version_;
    }
    tableState_ = TableState::Idle;
    pollAt_ = now + pollPeriod;
    trackPhases(now);
}

void EjectionDecider::onReadFailed(TimePoint now)
{
    tableState_ = TableState::NeedsRead;
    retryAt_ = now + readRetryPeriod;
}

void EjectionDecider::onWriteDone()
{
    tableState_ = TableState::NeedsRead;
}

EjectionPlan EjectionDecider::plan(TimePoint now, const std::string &token)
{
    EjectionPlan plan;
    planTable(now, token, plan);
    plan.probes_ = probes_.scheduleProbes(now);
    return plan;
}

void EjectionDecider::planTable(TimePoint now, const std::string &token, EjectionPlan &plan)
{
    ReviewResult review = review_.review(now);
    plan.opinionRequests_ = std::move(review.opinionRequests_);
    plan.gateMoves_ = std::move(review.gateMoves_);
    EjectionRow next = nextRow(review, now, plan);
    const bool wantsRead = tableState_ == TableState::NeedsRead && now >= retryAt_;
    if (wantsRead || (tableState_ == TableState::Idle && now >= pollAt_)) {
        tableState_ = TableState::Reading;
        plan.read_ = true;
        return;
    }
    if (tableState_ != TableState::Idle || next.servers_ == row_.servers_) {
        return;
    }
    next.token_ = token;
    tableState_ = TableState::Writing;
    plan.write_ = TableWrite{ ejectionRowKey(service_), version_, encodeEjectionRow(next) };
}

EjectionRow EjectionDecider::nextRow(const ReviewResult &review, TimePoint now, EjectionPlan &plan)
{
    EjectionRow next = row_;
    if (members_.empty()) {
        return next;
    }
    addWithdrawals(next, now);
    clearWithdrawals(next, now);
    completeReadmissions(next);
    decayRecentEjections(next, now);
    readmitReady(next);
    readmitForFloor(next, now, plan);
    eject(next, review.candidates_);
    next.removeDefaultEntries();
    return next;
}

void EjectionDecider::addWithdrawals(EjectionRow &row, TimePoint now)
{
    for (const ServiceMember &member : members_) {
        if (member.withdrawal_ != Withdrawal::None) {
            row.servers_[member.id_].withdrawal_ = member.withdrawal_;
            withdrawnAt_[member.id_] = now;
        }
    }
    for (const auto &[server, at] : withdrawnAt_) {
        if (findMember(server) == nullptr) {
            row.servers_[server].withdrawal_ = Withdrawal::Gone;
        }
    }
    for (auto &[server, entry] : row.servers_) {
        if (findMember(server) == nullptr) {
            entry.withdrawal_ = Withdrawal::Gone;
        }
    }
}

void EjectionDecider::clearWithdrawals(EjectionRow &row, TimePoint now)
{
    for (auto &[server, entry] : row.servers_) {
        if (entry.withdrawal_ == Withdrawal::None) {
            withdrawnAt_.erase(server);
            continue;
        }
        const TimePoint at = withdrawnAt_.try_emplace(server, now).first->second;
        if (now - at < withdrawalClearDelay) {
            continue;
        }
        withdrawnAt_.erase(server);
        entry.withdrawal_ = Withdrawal::None;
        if (findMember(server) == nullptr) {
            entry = ServerEntry();
        }
    }
}

void EjectionDecider::completeReadmissions(EjectionRow &row) const
{
    for (auto &[server, entry] : row.servers_) {
        const auto seen = phases_.find(server);
        const auto confirmed = confirmed_.find(server);
        if (entry.phase_ == EjectionPhase::Readmitting && seen != phases_.end()
            && seen->second.phase_ == EjectionPhase::Readmitting && confirmed != confirmed_.end()
            && confirmed->second >= seen->second.version_) {
            entry.phase_ = EjectionPhase::InService;
        }
    }
}

void EjectionDecider::readmitReady(EjectionRow &row) const
{
    for (auto &[server, entry] : row.servers_) {
        if (entry.phase_ == EjectionPhase::Ejected && probes_.isReady(server)) {
            entry.phase_ = EjectionPhase::Readmitting;
        }
    }
}

void EjectionDecider::readmitForFloor(EjectionRow &row, TimePoint now, EjectionPlan &plan) const
{
    const ServiceCapacity capacity = countCapacity(row, members_, floor_);
    int expectedHealthy = capacity.healthy_;
    for (const ServiceMember &member : members_) {
        const ServerEntry entry = row.entryOf(member.id_);
        if (entry.phase_ == EjectionPhase::Readmitting && entry.withdrawal_ == Withdrawal::None) {
            expectedHealthy += member.slots_;
        }
    }
    while (expectedHealthy < capacity.required_) {
        const auto server = leastUnhealthyEjected(row, now);
        if (!server) {
            return;
        }
        ServerEntry &entry = row.servers_[*server];
        entry.phase_ = EjectionPhase::Readmitting;
        expectedHealthy += entry.withdrawal_ == Withdrawal::None ? findMember(*server)->slots_ : 0;
        plan.suspendedEjections_.push_back(*server);
    }
}

void EjectionDecider::eject(EjectionRow &row,
                            const std::vector<EjectionCandidate> &candidates) const
{
    for (const EjectionCandidate &candidate : candidates) {
        const ServiceMember *member = findMember(candidate.server_);
        if (member == nullptr || member->withdrawal_ != Withdrawal::None
            || !row.entryOf(candidate.server_).countsAsHealthy()) {
            continue;
        }
        if (!countCapacity(row, members_, floor_).canEject(member->slots_)) {
            continue;
        }
        ServerEntry &entry = row.servers_[candidate.server_];
        entry.phase_ = EjectionPhase::Ejected;
        ++entry.recentEjections_;
        entry.holdDown_ = HoldDown::after(entry.recentEjections_);
    }
}

void EjectionDecider::decayRecentEjections(EjectionRow &row, TimePoint now) const
{
    for (auto &[server, entry] : row.servers_) {
        const auto seen = phases_.find(server);
        const bool isDue =
                seen != phases_.end() && now - seen->second.since_ >= HoldDown::decayPeriod;
        if (entry.phase_ == EjectionPhase::InService && entry.recentEjections_ > 0 && isDue) {
            --entry.recentEjections_;
        }
    }
}

std::optional<BackendServerId> EjectionDecider::leastUnhealthyEjected(const EjectionRow &row,
                                                                      TimePoint now) const
{
    std::optional<BackendServerId> best;
    const auto priority = [&](const BackendServerId &server) {
        const bool isWithdrawn = row.entryOf(server).withdrawal_ != Withdrawal::None;
        return std::make_tuple(isWithdrawn, !probes_.isReady(server),
                               review_.severityOf(server, now), probes_.ejectedAt(server, now));
    };
    for (const ServiceMember &member : members_) {
        // A server that only the row shows as withdrawn may be live again. Re-admitting it is safe.
        const bool isEligible = row.isEjected(member.id_) && member.withdrawal_ == Withdrawal::None;
        if (isEligible && (!best || priority(member.id_) < priority(*best))) {
            best = member.id_;
        }
    }
    return best;
}

void EjectionDecider::trackPhases(TimePoint now)
{
    for (const auto &[server, entry] : row_.servers_) {
        ObservedPhase &seen = phases_[server];
        const bool isSame =
                seen.phase_ == entry.phase_ && seen.recentEjections_ == entry.recentEjections_;
        if (seen.version_ == 0 || !isSame) {
            seen = ObservedPhase{ entry.phase_, entry.recentEjections_, version_, now };
        }
        if (entry.phase_ == EjectionPhase::Ejected) {
            probes_.track(server, entry.holdDown_, now);
            continue;
        }
        probes_.untrack(server);
    }
    for (auto seen = phases_.begin(); seen != phases_.end();) {
        const bool isListed = row_.servers_.count(seen->first) > 0;
        seen = isListed ? std::next(seen) : phases_.erase(seen);
    }
}

const ServiceMember *EjectionDecider::findMember(const BackendServerId &server) const
{
    const auto found = std::find_if(members_.begin(), members_.end(),
                                    [&](const auto &member) { return member.id_ == server; });
    return found == members_.end() ? nullptr : &*found;
}

} // namespace qz
