// Connects an ejection decider to the table, timers and messages of its instance.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_health/ejection/ejectiondecider.h"
#include "qz_platform/table/table.h"

#include <functional>
#include <memory>
#include <string>

namespace qz {

/// Actions that an EjectionDriver requests from its instance. All are called on the event loop.
struct EjectionCallbacks
{
    /// Sends the row to the service's gates, for GateEjections::onRowPushed().
    std::function<void(const EjectionRow &, RowVersion)> pushRow_;
    /// Sends a request to the server's gate, for GateEjections::suspendEjection().
    std::function<void(const BackendServerId &, RowVersion)> suspendEjection_;
    /// Makes the server's gate probe it; the result goes to EjectionDecider::onProbeResult().
    std::function<void(const BackendServerId &)> probe_;
    /// Makes another instance probe the server; the result goes to EjectionDecider::onOpinion().
    std::function<void(const OpinionRequest &)> requestOpinion_;
    /// Makes another instance the server's gate.
    std::function<void(const GateMove &)> moveGate_;
    /// Returns a new random token that identifies a write.
    std::function<std::string()> makeToken_;
};

/// Runs the ejection decider of one service on this instance. Exists while the instance believes
/// that it is the service's health decider; destroy it afterwards. No state is handed over to the
/// next decider, because the row in the table contains all decisions.
/// @see EjectionDecider
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

        /// Creates and starts the driver. All setters must have been called; table, timers and
        /// clock must outlive the driver.
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

    /// Returns the decider, to be called directly with opinions, probe results and members.
    EjectionDecider &decider() { return *decider_; }
    const EjectionDecider &decider() const { return *decider_; }

    /// Passes a report to the decider, and pushes the row again if the gate has an older one.
    void onReport(const GateReport &report);

    /// Plans and performs one step. Called by a timer every stepPeriod, and after each write.
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
    /// Makes pending table callbacks no-ops.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Timers::HandlePtr timer_;
};

} // namespace qz
