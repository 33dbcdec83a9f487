// A test fixture: a service of eight backend servers with their gates, and deciders on a FakeTable.
#pragma once

#include "qz_health/qz_health.h"

#include "qz_core/time/manualclock.h"
#include "qz_platform/tests/faketable.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace qz::test {

/// Timers that never fire; the tests call step() themselves.
class NeverFiringTimers : public Timers
{
public:
    HandlePtr callAfter(Duration /*delay*/, std::function<void()> /*work*/) override
    {
        return std::make_unique<Handle>();
    }
    HandlePtr callEvery(Duration /*period*/, std::function<void()> /*work*/) override
    {
        return std::make_unique<Handle>();
    }
};

inline const ServiceId orders{ "orders" };

inline BackendServerId server(int number)
{
    return BackendServerId("s" + std::to_string(number));
}

struct EjectionFixture
{
    static constexpr int serverCount = 8;
    static constexpr int slots = 2;
    static constexpr double floor = 0.75; // 12 of 16 slots, so two servers can be ejected

    EjectionFixture()
    {
        for (int i = 0; i < serverCount; ++i) {
            members_.push_back({ server(i), slots, Withdrawal::None });
            gates_[server(i)].onRowRead({}, 0);
        }
    }

    std::unique_ptr<EjectionDriver> makeDriver(Table &table)
    {
        EjectionCallbacks callbacks;
        callbacks.pushRow_ = [this](const EjectionRow &row, RowVersion version) {
            for (auto &[id, gate] : gates_) {
                gate.onRowPushed(row, version);
            }
        };
        callbacks.suspendEjection_ = [this](const BackendServerId &id, RowVersion version) {
            gates_[id].suspendEjection(id, version);
        };
        callbacks.probe_ = [this](const BackendServerId &id) { probeRequests_.push_back(id); };
        callbacks.requestOpinion_ = [this](const OpinionRequest &request) {
            opinionRequests_.push_back(request);
        };
        callbacks.moveGate_ = [this](const GateMove &move) { gateMoves_.push_back(move); };
        callbacks.makeToken_ = [this] { return "t" + std::to_string(++tokens_); };
        auto driver = EjectionDriver::Builder()
                              .setDecider(EjectionDecider(orders, floor))
                              .setTable(table)
                              .setTimers(timers_)
                              .setClock(clock_)
                              .setCallbacks(std::move(callbacks))
                              .build();
        driver->decider().setMembers(members_, clock_.now());
        return driver;
    }

    GateReport reportOf(const BackendServerId &id, const Verdict &verdict) const
    {
        GateReport report;
        report.server_ = id;
        report.gate_ = InstanceId("gate-" + id.value());
        report.gateDomain_ = FailureDomainId("alex-a");
        report.verdict_ = verdict;
        report.rowVersion_ = gates_.at(id).version();
        report.enforcesEjection_ = gates_.at(id).isEjected(id);
        return report;
    }

    /// Reports server @p number as failing, with a second opinion that agrees.
    void reportUnhealthy(EjectionDriver &driver, int number) const
    {
        driver.onReport(reportOf(server(number), Verdict{ Failing{ 0.9 }, 1 }));
        const SecondOpinion opinion{ server(number), FailureDomainId("alex-b"), true, false };
        driver.decider().onOpinion(opinion, clock_.now());
    }

    void reportHealthy(EjectionDriver &driver) const
    {
        for (const ServiceMember &member : members_) {
            driver.onReport(reportOf(member.id_, Verdict{ Healthy{}, 1 }));
        }
    }

    void setWithdrawal(int number, Withdrawal withdrawal)
    {
        members_[static_cast<std::size_t>(number)].withdrawal_ = withdrawal;
    }

    /// Steps @p driver eight times, so that it can complete its pending reads and writes.
    void stepUntilIdle(EjectionDriver &driver)
    {
        for (int i = 0; i < 8; ++i) {
            driver.step();
            table_.deliver();
            clock_.advance(std::chrono::milliseconds(100));
        }
    }

    EjectionRow committedRow() const
    {
        const auto row = table_.peek(ejectionRowKey(orders));
        return row ? decodeEjectionRow(row->value_).value() : EjectionRow();
    }

    int countPhase(EjectionPhase phase) const
    {
        int count = 0;
        for (const auto &[id, entry] : committedRow().servers_) {
            count += entry.phase_ == phase ? 1 : 0;
        }
        return count;
    }

    /// Returns the number of slots that get requests: their server is listed live, and its gate
    /// does not enforce an ejection.
    int slotsInService() const
    {
        int sum = 0;
        for (const ServiceMember &member : members_) {
            const bool isOut = member.withdrawal_ != Withdrawal::None;
            sum += isOut || gates_.at(member.id_).isEjected(member.id_) ? 0 : member.slots_;
        }
        return sum;
    }

    ManualClock clock_;
    FakeTable table_;
    NeverFiringTimers timers_;
    std::vector<ServiceMember> members_;
    std::map<BackendServerId, GateEjections> gates_;
    std::vector<BackendServerId> probeRequests_;
    std::vector<OpinionRequest> opinionRequests_;
    std::vector<GateMove> gateMoves_;
    int tokens_ = 0;
};

} // namespace qz::test
