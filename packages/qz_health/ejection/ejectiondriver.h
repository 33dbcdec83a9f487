// Binds a decider to the table, the timers and the messages of an instance.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_health/ejection/ejectiondecider.h"
#include "qz_platform/table/table.h"

#include <functional>
#include <memory>
#include <string>

namespace qz {

/// What an EjectionDriver asks of its instance. All are called on the loop.
struct EjectionCallbacks
{
    /// Tells the service's gates of the row, for GateEjections::onRowPushed.
    std::function<void(const EjectionRow &, RowVersion)> pushRow_;
    /// Tells the server's gate, for GateEjections::suspend.
    std::function<void(const BackendServerId &, RowVersion)> suspendEjection_;
    /// Has the server's gate probe it; the end goes to EjectionDecider::onProbeResult.
    std::function<void(const BackendServerId &)> probe_;
    /// Has another instance look; its finding goes to EjectionDecider::onOpinion.
    std::function<void(const OpinionRequest &)> requestOpinion_;
    std::function<void(const GateMove &)> moveGate_;
    /// A fresh random name for a write.
    std::function<std::string()> makeToken_;
};

/// Runs one service's decider on this instance while it believes to be the chosen one; to be
/// dropped when it is no more. Needs no hand-over: the row holds all that is agreed.
class EjectionDriver
{
public:
    class Builder
    {
    public:
        Builder &setDecider(EjectionDecider decider);
        Builder &setTable(Table &table);
        Builder &setTimers(Timers &timers);
        Builder &setClock(const Clock &clock);
        Builder &setCallbacks(EjectionCallbacks callbacks);

        /// Starts it. All parts must have been set; table, timers and clock must outlive it.
        std::unique_ptr<EjectionDriver> build();

    private:
        friend class EjectionDriver;
        std::unique_ptr<EjectionDecider> decider_;
        Table *table_ = nullptr;
        Timers *timers_ = nullptr;
        const Clock *clock_ = nullptr;
        EjectionCallbacks callbacks_;
    };

    EjectionDriver(const EjectionDriver &) = delete;
    EjectionDriver &operator=(const EjectionDriver &) = delete;

    /// Reports, opinions, probes and members go to the decider itself.
    EjectionDecider &decider() { return *decider_; }
    const EjectionDecider &decider() const { return *decider_; }

    /// Passes a report on and tells the row again if the gate has an older one.
    void onReport(const GateReport &report);

    /// Plans and carries out one step; runs by itself every stepPeriod.
    void step();

private:
    static constexpr Duration stepPeriod = std::chrono::milliseconds(100);

    explicit EjectionDriver(Builder builder);
    void readRow();
    void commit(TableWrite write);

    std::unique_ptr<EjectionDecider> decider_;
    Table &table_;
    const Clock &clock_;
    EjectionCallbacks callbacks_;
    RowVersion pushedVersion_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Ends table calls' effect.
    Timers::HandlePtr timer_;
};

} // namespace qz
