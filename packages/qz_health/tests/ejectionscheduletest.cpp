// Seeded random schedules: two deciders, a table that loses and delays, drains, leaving
// servers, gates that restart, messages that are lost, late and out of order.
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

/// Ends calls late, in any order, with any loss; a write whose call timed out may be applied
/// long after.
class LossyTable : public Table
{
public:
    LossyTable(FakeTable &inner, std::mt19937_64 &random)
        : inner_(inner)
        , random_(random)
    {
    }

    void setDown(bool down) { down_ = down; }
    void setCalm(bool calm) { calm_ = calm; }

    void read(const std::string &key, ReadDone done) override
    {
        if (down_ || draw(10)) {
            answers_.push_back([done] { done(failure(ErrorKind::StoreUnavailable, "down")); });
            return;
        }
        answers_.push_back([done, row = inner_.peek(key)] { done(row); });
    }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        if (down_) {
            answers_.push_back([done] { done(failure(ErrorKind::StoreUnavailable, "down")); });
            return;
        }
        if (draw(10)) {
            late_.push_back(std::move(writes));
            answers_.push_back([done] { done(failure(ErrorKind::StoreTimeout, "late")); });
            return;
        }
        const bool lose = draw(10);
        inner_.commit(std::move(writes), [this, done, lose](Result<CommitDecision> decision) {
            if (lose) {
                decision = failure(ErrorKind::StoreTimeout, "lost");
            }
            answers_.push_back([done, decision] { done(decision); });
        });
        inner_.deliver();
    }

    /// Ends one call or applies one late write.
    void tick()
    {
        if (!late_.empty() && draw(20)) {
            inner_.commit(take(late_), [](const Result<CommitDecision> & /*decision*/) {});
            inner_.deliver();
        }
        if (!answers_.empty()) {
            take(answers_)();
        }
    }

private:
    bool draw(int percent) { return !calm_ && static_cast<int>(random_() % 100) < percent; }

    template<typename T>
    T take(std::vector<T> &from)
    {
        const auto at = from.begin() + static_cast<std::ptrdiff_t>(random_() % from.size());
        T taken = std::move(*at);
        from.erase(at);
        return taken;
    }

    FakeTable &inner_;
    std::mt19937_64 &random_;
    bool down_ = false;
    bool calm_ = false;
    std::vector<Message> answers_;
    std::vector<std::vector<TableWrite>> late_;
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
            act();
            advance();
            check();
        }
        heal();
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
        callbacks.probe_ = [this](const BackendServerId &id) { probed_.push_back(id); };
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

    /// One event of the world.
    void act()
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
            for (const BackendServerId &id : std::exchange(probed_, {})) {
                driver.decider().onProbeResult(id, pick(4) != 0, clock_.now());
            }
            break;
        case 9:
        case 10:
            sendReport(driver, member.id_, Verdict{ Healthy{}, 1 });
            break;
        default:
            reportSick(driver, number);
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

    /// The promises of docs/HEALTH.md.
    void check()
    {
        const EjectionRow row = committedRow();
        constexpr int required = 12;
        int kept = 0;         // in the row: in service or being re-admitted, not withdrawn
        int sure = 0;         // in the row: in service and not withdrawn
        int unregistered = 0; // withdrawn, and the row does not know it
        int ejected = 0;      // in the row: ejected and not withdrawn
        int unheard = 0;      // being re-admitted, and the gate does not know it
        for (const ServiceMember &member : members_) {
            const ServerEntry entry = row.entryOf(member.id_);
            const bool isActing = gates_[member.id_].isEjected(member.id_);
            const bool isKnown = entry.withdrawal_ != Withdrawal::None;
            const bool isOut = member.withdrawal_ != Withdrawal::None;
            kept += !isKnown && entry.phase_ != EjectionPhase::Ejected ? slots : 0;
            ejected += !isKnown && entry.phase_ == EjectionPhase::Ejected ? slots : 0;
            sure += entry.countsAsHealthy() ? slots : 0;
            unregistered += isOut && !isKnown ? slots : 0;
            unheard += isActing && entry.phase_ == EjectionPhase::Readmitting ? slots : 0;
            BOOST_TEST_REQUIRE((!isActing || entry.phase_ != EjectionPhase::InService));
        }
        BOOST_TEST_REQUIRE((kept >= required || ejected == 0));
        BOOST_TEST_REQUIRE((slotsInService() + unregistered + unheard >= required || ejected == 0));
        checkNewEjections(row, sure >= required);
    }

    /// A row that ejects a server anew keeps the floor without those being re-admitted.
    void checkNewEjections(const EjectionRow &row, bool floorKept)
    {
        for (const auto &[id, entry] : row.servers_) {
            const bool isNew = entry.phase_ == EjectionPhase::Ejected && !lastRow_.isEjected(id);
            BOOST_TEST_REQUIRE((!isNew || floorKept));
        }
        ejections_ += row.token_ != lastRow_.token_ ? 1 : 0;
        lastRow_ = row;
    }

    /// All faults end: soon the floor holds but for what is withdrawn.
    void heal()
    {
        lossy_.setDown(false);
        lossy_.setCalm(true);
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
    int ejections_ = 0;

public:
    int changes() const { return ejections_; }
};

} // namespace

BOOST_AUTO_TEST_CASE(twoThousandSchedulesKeepTheFloor)
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
