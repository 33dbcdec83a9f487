// Claims, results, and scheduled releases and erasures of rows.
#include "qz_once/claims/claimclient.h"

#include "qz_core/ids/randomid.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace qz {

namespace {

constexpr Duration tickPeriod = std::chrono::seconds(1);

/// Delays after an undecided claim at which its row is released if it has appeared by then.
constexpr std::array<Duration, 2> undecidedReleaseDelays{ std::chrono::seconds(5),
                                                          std::chrono::minutes(1) };

} // namespace

ClaimClient::Builder &ClaimClient::Builder::setTable(Table &table)
{
    table_ = &table;
    return *this;
}

ClaimClient::Builder &ClaimClient::Builder::setTimers(Timers &timers)
{
    timers_ = &timers;
    return *this;
}

ClaimClient::Builder &ClaimClient::Builder::setClock(const Clock &clock)
{
    clock_ = &clock;
    return *this;
}

ClaimClient::Builder &ClaimClient::Builder::setSelf(InstanceId self)
{
    self_ = std::move(self);
    return *this;
}

ClaimClient::Builder &ClaimClient::Builder::setIncarnation(std::string incarnation)
{
    incarnation_ = std::move(incarnation);
    return *this;
}

ClaimClient::Builder &ClaimClient::Builder::setLimits(ClaimLimits limits)
{
    limits_ = limits;
    return *this;
}

ClaimClient::Builder &ClaimClient::Builder::setRowWriter(RowWriter write)
{
    write_ = std::move(write);
    return *this;
}

std::unique_ptr<ClaimClient> ClaimClient::Builder::build() const
{
    assert(table_ && timers_ && clock_ && !self_.isEmpty() && !incarnation_.empty());
    return std::unique_ptr<ClaimClient>(new ClaimClient(*this));
}

ClaimClient::ClaimClient(const Builder &builder)
    : table_(*builder.table_)
    , clock_(*builder.clock_)
    , self_(builder.self_)
    , incarnation_(builder.incarnation_)
    , limits_(builder.limits_)
    , ownBatcher_(builder.write_ ? nullptr
                                 : std::make_unique<ClaimBatcher>(table_, *builder.timers_, clock_,
                                                                  ClaimBatchLimits{}))
    , write_(builder.write_
                     ? builder.write_
                     : [batcher = ownBatcher_.get()](
                               TableWrite write,
                               RowWriteDone
                                       done) { batcher->write(std::move(write), std::move(done)); })
    , updater_(table_, write_, limits_.maxUpdatesInFlight_, limits_.maxQueuedUpdates_)
    , pendingErasures_(limits_.maxPendingErasures_)
    , pendingReleases_(limits_.maxQueuedUpdates_)
    , tick_(builder.timers_->callEvery(tickPeriod, [this] { onTick(); }))
{
    updater_.resetQuota(limits_.updatesPerSecond_);
}

void ClaimClient::claim(const WorkspaceId &workspace, const IdempotencyKey &key, Duration retention,
                        ClaimDone done)
{
    ++counts_.claims_;
    const AttemptToken token(makeRandomId());
    const ClaimRowRef row{ claimRowKey(workspace, key), token };
    const Duration minRetention = limits_.sendWindow_ * minRetentionInSendWindows;
    const TimePoint eraseAt = clock_.now() + std::max(retention, minRetention);
    auto onEnd = [this, row, eraseAt, done = std::move(done),
                  alive = std::weak_ptr<bool>(isAlive_)](const ClaimAttempt::End &end) {
        if (!alive.expired()) {
            onAttemptEnded(row, eraseAt, end, done);
        }
    };
    const auto attempt = std::make_shared<ClaimAttempt>(
            ClaimAttempt::Context{ table_, clock_, write_, limits_ }, workspace, key,
            makeRow(token, ClaimState::Claimed), std::move(onEnd));
    attempt->start();
}

void ClaimClient::onAttemptEnded(const ClaimRowRef &row, TimePoint eraseAt,
                                 const ClaimAttempt::End &end, const ClaimDone &done)
{
    count(end.result_);
    if (end.result_.has_value() || end.mayLeaveRow_) {
        pendingErasures_.add(row, eraseAt);
    }
    if (end.mayLeaveRow_) {
        scheduleRelease(row);
    }
    done(end.result_);
}

void ClaimClient::count(const Result<ClaimGrant> &result)
{
    if (result.has_value()) {
        ++counts_.grants_;
    } else if (result.error().kind_ == ErrorKind::AlreadyClaimed) {
        ++counts_.alreadyClaimed_;
    } else if (result.error().kind_ == ErrorKind::ClaimStoreUnavailable) {
        ++counts_.storeUnavailable_;
    } else {
        ++counts_.undecided_;
    }
}

void ClaimClient::scheduleRelease(const ClaimRowRef &row)
{
    for (const Duration delay : undecidedReleaseDelays) {
        pendingReleases_.add(row, clock_.now() + delay);
    }
}

void ClaimClient::reportResult(const ClaimGrant &grant, ClaimResult result)
{
    if (result == ClaimResult::Unknown) {
        return; // The row stays claimed, which means that the outcome is unknown.
    }
    const ClaimState state = result == ClaimResult::Ran ? ClaimState::Ran : ClaimState::Released;
    updater_.add(ClaimRowUpdate{ claimRowKey(grant.workspace_, grant.key_), grant.token_,
                                 makeRow(grant.token_, state), grant.version_ });
}

ClaimRow ClaimClient::makeRow(AttemptToken token, ClaimState state) const
{
    return ClaimRow{ std::move(token), self_, incarnation_, state };
}

void ClaimClient::onTick()
{
    updater_.resetQuota(limits_.updatesPerSecond_);
    const TimePoint now = clock_.now();
    while (const auto row = pendingReleases_.takeDue(now)) {
        updater_.add(ClaimRowUpdate{ row->rowKey_, row->token_,
                                     makeRow(row->token_, ClaimState::Released) });
    }
    for (std::size_t i = 0; i < limits_.erasuresPerSecond_; ++i) {
        const auto row = pendingErasures_.takeDue(now);
        if (!row) {
            return;
        }
        updater_.add(ClaimRowUpdate{ row->rowKey_, row->token_, std::nullopt });
    }
}

ClaimClient::Counts ClaimClient::counts() const
{
    Counts counts = counts_;
    counts.droppedUpdates_ = updater_.droppedCount();
    counts.pendingErasures_ = pendingErasures_.size();
    counts.unscheduledErasures_ = pendingErasures_.droppedCount();
    return counts;
}

} // namespace qz
