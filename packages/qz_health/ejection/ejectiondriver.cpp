#include "qz_health/ejection/ejectiondriver.h"

#include <cassert>
#include <utility>

namespace qz {

EjectionDriver::Builder &EjectionDriver::Builder::setDecider(EjectionDecider decider)
{
    decider_ = std::make_unique<EjectionDecider>(std::move(decider));
    return *this;
}

EjectionDriver::Builder &EjectionDriver::Builder::setTable(Table &table)
{
    table_ = &table;
    return *this;
}

EjectionDriver::Builder &EjectionDriver::Builder::setTimers(Timers &timers)
{
    timers_ = &timers;
    return *this;
}

EjectionDriver::Builder &EjectionDriver::Builder::setClock(const Clock &clock)
{
    clock_ = &clock;
    return *this;
}

EjectionDriver::Builder &EjectionDriver::Builder::setCallbacks(EjectionCallbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    return *this;
}

std::unique_ptr<EjectionDriver> EjectionDriver::Builder::build()
{
    assert(decider_ && table_ && timers_ && clock_);
    return std::unique_ptr<EjectionDriver>(new EjectionDriver(std::move(*this)));
}

EjectionDriver::EjectionDriver(Builder builder)
    : decider_(std::move(builder.decider_))
    , table_(*builder.table_)
    , clock_(*builder.clock_)
    , callbacks_(std::move(builder.callbacks_))
    , timer_(builder.timers_->callEvery(stepPeriod, [this] { step(); }))
{
}

void EjectionDriver::onReport(const GateReport &report)
{
    decider_->onReport(report, clock_.now());
    if (report.rowVersion_ < decider_->version()) {
        callbacks_.pushRow_(decider_->row(), decider_->version());
    }
}

void EjectionDriver::step()
{
    EjectionPlan plan = decider_->plan(clock_.now(), callbacks_.makeToken_());
    for (const BackendServerId &server : plan.suspendedEjections_) {
        callbacks_.suspendEjection_(server, decider_->version());
    }
    for (const BackendServerId &server : plan.probes_) {
        callbacks_.probe_(server);
    }
    for (const OpinionRequest &request : plan.opinionRequests_) {
        callbacks_.requestOpinion_(request);
    }
    for (const GateMove &move : plan.gateMoves_) {
        callbacks_.moveGate_(move);
    }
    if (plan.write_) {
        commit(std::move(*plan.write_));
    }
    if (plan.read_) {
        readRow();
    }
}

void EjectionDriver::readRow()
{
    const std::weak_ptr<bool> alive = alive_;
    table_.read(decider_->rowKey(), [this, alive](Result<std::optional<TableRow>> row) {
        if (alive.expired()) {
            return;
        }
        if (!row) {
            decider_->onReadFailed(clock_.now());
            return;
        }
        decider_->onRowRead(row.value(), clock_.now());
        if (decider_->version() > pushedVersion_) {
            pushedVersion_ = decider_->version();
            callbacks_.pushRow_(decider_->row(), pushedVersion_);
        }
    });
}

void EjectionDriver::commit(TableWrite write)
{
    const std::weak_ptr<bool> alive = alive_;
    table_.commit({ std::move(write) }, [this, alive](const Result<CommitDecision> & /*decision*/) {
        if (alive.expired()) {
            return;
        }
        decider_->onWriteDone();
        step();
    });
}

} // namespace qz
