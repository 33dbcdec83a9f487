// Random schedules from fixed seeds must keep the floor. They combine two deciders, lost and
// delayed table calls, draining and leaving servers, gate restarts, and messages that are lost,
// delayed or reordered.
#include "qz_health/tests/ejectionfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace qz;
using namespace qz::test;
using namespace std::chrono_literals;

namespace {

using Message = std::function<void()>;

/// A table that completes calls late, in random order, and with random failures. A write whose call
/// has timed out can still be applied much later.
class LossyTable : public Table
{
public:
    LossyTable(FakeTable &inner, std::mt19937_64 &random)
        : inner_(inner)
        , random_(random)
    {
    }

    void setDown(bool down) { down_ = down; }
    void setReliable(bool reliable) { reliable_ = reliable; }

    void read(const std::string &key, ReadDone done) override
    {
        if (down_ || draw(10)) {
            completions_.push_back([done] { done(failure(ErrorKind::StoreUnavailable, "down")); });
            return;
        }
        completions_.push_back([done, row = inner_.peek(key)] { done(row); });
    }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        if (down_) {
            completions_.push_back([done] { done(failure(ErrorKind::StoreUnavailable, "down")); });
            return;
        }
        if (draw(10)) {
            lateWrites_.push_back(std::move(writes));
            completions_.push_back([done] { done(failure(ErrorKind::StoreTimeout, "late")); });
            return;
        }
        const bool lose = draw(10);
        inner_.commit(std::move(writes), [this, done, lose](Result<CommitDecision> decision) {
            if (lose) {
                decision = failure(ErrorKind::StoreTimeout, "lost");
            }
            completions_.push_back([done, decision] { done(decision); });
        });
        inner_.deliver();
    }

    /// May apply one late write, then completes one call.
    void tick()
    {
        if (!lateWrites_.empty() && draw(20)) {
            inner_.commit(removeRandom(lateWrites_),
                          [](const Result<CommitDecision> & /*decision*/) {});
            inner_.deliver();
        }
        if (!completions_.empty()) {
            removeRandom(completions_)();
        }
    }

private:
    bool draw(int percent) { return !reliable_ && static_cast<int>(random_() % 100) < percent; }

    template<typename T>
    T removeRandom(std::vector<T> &from)
    {
        const auto at = from.begin() + static_cast<std::ptrdiff_t>(random_() % from.size());
        T element = std::move(*at);
        from.erase(at);
        return element;
    }

    FakeTable &inner_;
    std::mt19937_64 &random_;
    bool down_ = false;
    bool reliable_ = false;
    std::vector<Message> completions_;
    std::vector<std::vector<TableWrite>> lateWrites_;
};

class Schedule : public EjectionFixture
{
public:
    explicit Schedule(unsigned seed)
        : random_(seed)
        , lossy_(table_, random_)
    {
        for (auto &driver : drivers_) {
            driver = makeLossyDriver();
        }
    }

    void run()
    {
        constexpr int steps = 150;
        for (int i = 0; i < steps; ++i) {
            performRandomEvent();
            advance();
            check();
        }
        endFaults();
    }

private:
    std::unique_ptr<EjectionDriver> makeLossyDriver()
    {
        EjectionCallbacks callbacks;
        callbacks.pushRow_ = [this](const EjectionRow &row, RowVersion version) {
            for (const ServiceMember &member : members_) {
                send([this, id = member.id_, row, version] {
                    gates_[id].onRowPushed(row, version);
                });
            }
        };
        callbacks.suspendEjection_ = [this](const BackendServerId &id, RowVersion version) {
            send([this, id, version] { gates_[id].suspendEjection(id, version); });
        };
        callbacks.probe_ = [this](const BackendServerId &id) { probeRequests_.push_back(id); };
        callbacks.requestOpinion_ = [](const OpinionRequest & /*request*/) {};
        callbacks.moveGate_ = [](const GateMove & /*move*/) {};
        callbacks.makeToken_ = [this] { return "t" + std::to_string(++tokens_); };
        auto driver = EjectionDriver::Builder()
                              .setDecider(EjectionDecider(orders, floor))
                              .setTable(lossy_)
                              .setTimers(timers_)
                              .setClock(clock_)
                              .setCallbacks(std::move(callbacks))
                              .build();
        driver->decider().setMembers(members_, clock_.now());
        return driver;
    }

    int pick(int count) { return static_cast<int>(random_() % static_cast<unsigned>(count)); }
    void send(Message message) { messages_.push_back(std::move(message)); }

    void performRandomEvent()
    {
        const int number = pick(serverCount);
        ServiceMember &member = members_[static_cast<std::size_t>(number)];
        EjectionDriver &driver = *drivers_[static_cast<std::size_t>(pick(2))];
        switch (pick(14)) {
        case 0:
            member.withdrawal_ = Withdrawal::Draining;
            break;
        case 1:
            member.withdrawal_ = pick(2) == 0 ? Withdrawal::Leaving : Withdrawal::None;
            break;
        case 2:
        case 3:
            driver.decider().setMembers(members_, clock_.now());
            break;
        case 4:
            lossy_.setDown(pick(3) == 0);
            break;
        case 5:
            restartGate(member.id_);
            break;
        case 6:
            if (pick(4) == 0) {
                drivers_[static_cast<std::size_t>(pick(2))] = makeLossyDriver();
            }
            break;
        case 7:
            clock_.advance(std::chrono::seconds(pick(12)));
            break;
        case 8:
            for (const BackendServerId &id : std::exchange(probeRequests_, {})) {
                driver.decider().onProbeResult(id, pick(4) != 0, clock_.now());
            }
            break;
        case 9:
        case 10:
            sendReport(driver, member.id_, Verdict{ Healthy{}, 1 });
            break;
        default:
            reportUnhealthy(driver, number);
        }
    }

    void sendReport(EjectionDriver &driver, const BackendServerId &id, const Verdict &verdict)
    {
        std::size_t index = &driver == drivers_[0].get() ? 0 : 1;
        send([this, index, report = reportOf(id, verdict)] { drivers_[index]->onReport(report); });
    }

    void restartGate(const BackendServerId &id)
    {
        gates_[id] = GateEjections();
        lossy_.read(ejectionRowKey(orders), [this, id](Result<std::optional<TableRow>> row) {
            if (row && row.value()) {
                const EjectionRow decoded = decodeEjectionRow(row.value()->value_).value();
                gates_[id].onRowRead(decoded, row.value()->version_);
            }
        });
    }

    void advance()
    {
        drivers_[static_cast<std::size_t>(pick(2))]->step();
        lossy_.tick();
        clock_.advance(50ms);
        for (int i = 0; i < 4 && !messages_.empty(); ++i) {
            const auto at = messages_.begin() + pick(static_cast<int>(messages_.size()));
            const Message message = std::move(*at);
            messages_.erase(at);
            if (pick(10) != 0) {
                message();
            }
        }
        lossy_.tick();
    }

    /// Checks the invariants of docs/HEALTH.md.
    void check()
    {
        const EjectionRow row = committedRow();
        constexpr int required = 12;
        int available = 0;   // in the row: in service or being re-admitted, not withdrawn
        int healthy = 0;     // in the row: in service and not withdrawn
        int unrecorded = 0;  // withdrawn, but not in the row
        int ejected = 0;     // in the row: ejected and not withdrawn
        int unconfirmed = 0; // being re-admitted, but its gate still enforces the ejection
        for (const ServiceMember &member : members_) {
            const ServerEntry entry = row.entryOf(member.id_);
            const bool isEnforced = gates_[member.id_].isEjected(member.id_);
            const bool isRecorded = entry.withdrawal_ != Withdrawal::None;
            const bool isOut = member.withdrawal_ != Withdrawal::None;
            available += !isRecorded && entry.phase_ != EjectionPhase::Ejected ? slots : 0;
            ejected += !isRecorded && entry.phase_ == EjectionPhase::Ejected ? slots : 0;
            healthy += entry.countsAsHealthy() ? slots : 0;
            unrecorded += isOut && !isRecorded ? slots : 0;
            unconfirmed += isEnforced && entry.phase_ == EjectionPhase::Readmitting ? slots : 0;
            BOOST_TEST_REQUIRE((!isEnforced || entry.phase_ != EjectionPhase::InService));
        }
        BOOST_TEST_REQUIRE((available >= required || ejected == 0));
        BOOST_TEST_REQUIRE(
                (slotsInService() + unrecorded + unconfirmed >= required || ejected == 0));
        checkNewEjections(row, healthy >= required);
    }

    /// Checks that a row with a new ejection keeps the floor without counting the servers that are
    /// being re-admitted.
    void checkNewEjections(const EjectionRow &row, bool floorKept)
    {
        for (const auto &[id, entry] : row.servers_) {
            const bool isNew = entry.phase_ == EjectionPhase::Ejected && !lastRow_.isEjected(id);
            BOOST_TEST_REQUIRE((!isNew || floorKept));
        }
        changedRows_ += row.token_ != lastRow_.token_ ? 1 : 0;
        lastRow_ = row;
    }

    /// Ends all faults, and checks that the floor holds after a while unless too many servers are
    /// withdrawn.
    void endFaults()
    {
        lossy_.setDown(false);
        lossy_.setReliable(true);
        int listed = 0;
        for (const ServiceMember &member : members_) {
            listed += member.withdrawal_ == Withdrawal::None ? member.slots_ : 0;
        }
        for (auto &driver : drivers_) {
            driver->decider().setMembers(members_, clock_.now());
        }
        for (int i = 0; i < 40; ++i) {
            for (const Message &message : std::exchange(messages_, {})) {
                message();
            }
            for (const ServiceMember &member : members_) {
                drivers_[0]->onReport(reportOf(member.id_, Verdict{ Healthy{}, 1 }));
            }
            advance();
            advance();
            check();
        }
        BOOST_TEST_REQUIRE(slotsInService() >= std::min(listed, 12));
    }

    std::mt19937_64 random_;
    LossyTable lossy_;
    std::array<std::unique_ptr<EjectionDriver>, 2> drivers_;
    std::vector<Message> messages_;
    EjectionRow lastRow_;
    int changedRows_ = 0;

public:
    int changes() const { return changedRows_; }
};

} // namespace

BOOST_AUTO_TEST_CASE(randomSchedulesKeepFloor)
{
    constexpr unsigned schedules = 2000;
    int changes = 0;
    for (unsigned seed = 1; seed <= schedules; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Schedule schedule(seed);
            schedule.run();
            changes += schedule.changes();
        }
    }
    BOOST_TEST(changes > 5 * static_cast<int>(schedules));
}
