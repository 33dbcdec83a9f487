// Seeded random schedules: three clients, a faulty table and a server that counts.
#include "qz_core/time/manualtimers.h"
#include "qz_once/claims/claimclient.h"
#include "randomtable.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>

using namespace qz;
using namespace std::chrono_literals;

namespace {

constexpr int schedules = 5000;
constexpr int clients = 3;
constexpr int keys = 2;
constexpr int claimsInASchedule = 10;
constexpr Duration sendWindow = 1s;
constexpr Duration claimPeriod = 6s; ///< Long enough for rows to be erased meanwhile.
constexpr Duration scheduleLength = 14s;

/// What all schedules together came to, so that the test is seen to reach what it is about.
struct Totals
{
    int runs_ = 0;
    int shedThenRun_ = 0;
    int refusedByGate_ = 0;
    int erasures_ = 0;
    std::map<ErrorKind, int> failures_;
};

/// One schedule. Pauses of a process are long delays between its steps.
class Schedule
{
public:
    Schedule(std::uint64_t seed, Totals &totals)
        : random_(seed)
        , totals_(totals)
    {
        table_.setFaultShare(std::uniform_real_distribution<double>(0, 0.6)(random_));
        // A key whose row is erased in its time is forgotten, with what ran under it.
        table_.setErased([this](const std::string &rowKey) {
            ++totals_.erasures_;
            runs_.erase(rowKey);
        });
        ClaimLimits limits;
        limits.sendWindow_ = sendWindow;
        for (int i = 0; i < clients; ++i) {
            const std::string name = "client-" + std::to_string(i);
            clients_[static_cast<std::size_t>(i)] = ClaimClient::Builder()
                                                            .setTable(table_)
                                                            .setTimers(timers_)
                                                            .setClock(clock_)
                                                            .setSelf(InstanceId(name))
                                                            .setIncarnation(name + "-1")
                                                            .setLimits(limits)
                                                            .build();
        }
    }

    void run()
    {
        for (int i = 0; i < claimsInASchedule; ++i) {
            const auto client = static_cast<std::size_t>(draw(clients));
            const IdempotencyKey key("key-" + std::to_string(draw(keys)));
            const Duration at = std::chrono::milliseconds(draw(claimPeriod / 1ms));
            table_.later(at, [this, client, key] { claim(*clients_[client], key); });
        }
        timers_.advance(scheduleLength);
        BOOST_TEST(open_ == 0);
    }

    bool isViolated() const { return isViolated_; }

private:
    int draw(long limit)
    {
        return static_cast<int>(std::uniform_int_distribution<long>(0, limit - 1)(random_));
    }

    void claim(ClaimClient &client, const IdempotencyKey &key)
    {
        ++open_;
        client.claim(WorkspaceId("w"), key, Duration::zero(), [this, &client](const auto &result) {
            --open_;
            if (!result.has_value()) {
                ++totals_.failures_[result.error().kind_];
                return;
            }
            const ClaimGrant &grant = result.value();
            table_.later(table_.drawDelay(), [this, &client, grant] { send(client, grant); });
        });
    }

    void send(ClaimClient &client, const ClaimGrant &grant)
    {
        if (clock_.now() >= grant.sendBefore_) {
            sayNotRun(client, grant);
            return;
        }
        table_.later(table_.drawDelay(), [this, &client, grant] { arriveAtGate(client, grant); });
    }

    void arriveAtGate(ClaimClient &client, const ClaimGrant &grant)
    {
        const bool isTooLate = clock_.now() >= grant.sendBefore_;
        totals_.refusedByGate_ += isTooLate ? 1 : 0;
        const bool isShed = isTooLate || table_.isHit(0.4);
        if (!isShed) {
            execute(grant);
        }
        if (table_.isHit(0.2)) {
            client.settle(grant, ClaimResult::Unknown); // The answer is lost.
            return;
        }
        table_.later(table_.drawDelay(), [this, &client, grant, isShed] {
            if (isShed) {
                sayNotRun(client, grant);
            } else {
                client.settle(grant, ClaimResult::Ran);
            }
        });
    }

    void execute(const ClaimGrant &grant)
    {
        const std::string rowKey = claimRowKey(grant.workspace_, grant.key_);
        ++totals_.runs_;
        totals_.shedThenRun_ += shedKeys_.count(rowKey) > 0 ? 1 : 0;
        isViolated_ = isViolated_ || ++runs_[rowKey] > 1 || toldNotRun_.count(grant.token_) > 0;
        ran_.insert(grant.token_);
    }

    void sayNotRun(ClaimClient &client, const ClaimGrant &grant)
    {
        isViolated_ = isViolated_ || ran_.count(grant.token_) > 0;
        toldNotRun_.insert(grant.token_);
        shedKeys_.insert(claimRowKey(grant.workspace_, grant.key_));
        client.settle(grant, ClaimResult::NotRun);
    }

    std::mt19937_64 random_;
    Totals &totals_;
    ManualClock clock_;
    ManualTimers timers_{ clock_ };
    RandomTable table_{ timers_, random_ };
    std::array<std::unique_ptr<ClaimClient>, clients> clients_;
    std::map<std::string, int> runs_; ///< By row key, since the key was last forgotten.
    std::set<AttemptToken> ran_;
    std::set<AttemptToken> toldNotRun_;
    std::set<std::string> shedKeys_;
    int open_ = 0;
    bool isViolated_ = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(noScheduleRunsAKeyTwiceOrSaysNotRunOfWhatRan)
{
    Totals totals;
    int violations = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        Schedule schedule(static_cast<std::uint64_t>(seed), totals);
        schedule.run();
        if (schedule.isViolated()) {
            ++violations;
            BOOST_TEST_MESSAGE("violated by seed " << seed);
        }
    }
    BOOST_TEST(violations == 0);
    BOOST_TEST_MESSAGE("runs " << totals.runs_ << ", after a shed " << totals.shedThenRun_
                               << ", refused by the gate " << totals.refusedByGate_ << ", erasures "
                               << totals.erasures_);
    for (const auto &[kind, count] : totals.failures_) {
        BOOST_TEST_MESSAGE(toString(kind) << " " << count);
    }
    BOOST_TEST(totals.runs_ > schedules);
    BOOST_TEST(totals.shedThenRun_ > 0);
    BOOST_TEST(totals.refusedByGate_ > 0);
    BOOST_TEST(totals.erasures_ > 0);
    for (const ErrorKind kind : { ErrorKind::AlreadyClaimed, ErrorKind::ClaimStoreUnavailable,
                                  ErrorKind::ClaimUndecided }) {
        BOOST_TEST(totals.failures_[kind] > 0);
    }
}
