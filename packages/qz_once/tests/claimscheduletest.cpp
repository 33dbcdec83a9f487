// Seeded random schedules of three clients and a table with faults: guards against a key whose
// request runs twice, and against a request that runs although it was reported as not run.
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
constexpr int claimsPerSchedule = 10;
constexpr Duration sendWindow = 1s;
constexpr Duration claimPeriod = 6s; ///< Long enough that rows are erased during it.
constexpr Duration scheduleLength = 14s;

/// Counts over all schedules, which show that the test reaches the cases that it guards.
struct Totals
{
    int runs_ = 0;
    int runsAfterShed_ = 0;
    int refusedByGate_ = 0;
    int erasures_ = 0;
    std::map<ErrorKind, int> errors_;
};

/// One schedule. Long delays between the steps of a client simulate pauses of its process.
class Schedule
{
public:
    Schedule(std::uint64_t seed, Totals &totals)
        : random_(seed)
        , totals_(totals)
    {
        table_.setFaultProbability(std::uniform_real_distribution<double>(0, 0.6)(random_));
        // After its row was erased, a key may be claimed and run again.
        table_.setErasedHandler([this](const std::string &rowKey) {
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
        for (int i = 0; i < claimsPerSchedule; ++i) {
            const auto client = static_cast<std::size_t>(draw(clients));
            const IdempotencyKey key("key-" + std::to_string(draw(keys)));
            const Duration at = std::chrono::milliseconds(draw(claimPeriod / 1ms));
            table_.callLater(at, [this, client, key] { claim(*clients_[client], key); });
        }
        timers_.advance(scheduleLength);
        BOOST_TEST(openClaims_ == 0);
    }

    bool isViolated() const { return isViolated_; }

private:
    int draw(long limit)
    {
        return static_cast<int>(std::uniform_int_distribution<long>(0, limit - 1)(random_));
    }

    void claim(ClaimClient &client, const IdempotencyKey &key)
    {
        ++openClaims_;
        client.claim(WorkspaceId("w"), key, Duration::zero(), [this, &client](const auto &result) {
            --openClaims_;
            if (!result.has_value()) {
                ++totals_.errors_[result.error().kind_];
                return;
            }
            const ClaimGrant &grant = result.value();
            table_.callLater(table_.drawDelay(), [this, &client, grant] { send(client, grant); });
        });
    }

    void send(ClaimClient &client, const ClaimGrant &grant)
    {
        if (clock_.now() >= grant.sendBefore_) {
            reportNotRun(client, grant);
            return;
        }
        table_.callLater(table_.drawDelay(),
                         [this, &client, grant] { arriveAtGate(client, grant); });
    }

    void arriveAtGate(ClaimClient &client, const ClaimGrant &grant)
    {
        const bool isTooLate = clock_.now() >= grant.sendBefore_;
        totals_.refusedByGate_ += isTooLate ? 1 : 0;
        const bool isShed = isTooLate || table_.drawBool(0.4);
        if (!isShed) {
            execute(grant);
        }
        if (table_.drawBool(0.2)) {
            client.reportResult(grant, ClaimResult::Unknown); // The response is lost.
            return;
        }
        table_.callLater(table_.drawDelay(), [this, &client, grant, isShed] {
            if (isShed) {
                reportNotRun(client, grant);
            } else {
                client.reportResult(grant, ClaimResult::Ran);
            }
        });
    }

    void execute(const ClaimGrant &grant)
    {
        const std::string rowKey = claimRowKey(grant.workspace_, grant.key_);
        ++totals_.runs_;
        totals_.runsAfterShed_ += shedKeys_.count(rowKey) > 0 ? 1 : 0;
        isViolated_ = isViolated_ || ++runs_[rowKey] > 1 || reportedNotRun_.count(grant.token_) > 0;
        executed_.insert(grant.token_);
    }

    void reportNotRun(ClaimClient &client, const ClaimGrant &grant)
    {
        isViolated_ = isViolated_ || executed_.count(grant.token_) > 0;
        reportedNotRun_.insert(grant.token_);
        shedKeys_.insert(claimRowKey(grant.workspace_, grant.key_));
        client.reportResult(grant, ClaimResult::NotRun);
    }

    std::mt19937_64 random_;
    Totals &totals_;
    ManualClock clock_;
    ManualTimers timers_{ clock_ };
    RandomTable table_{ timers_, random_ };
    std::array<std::unique_ptr<ClaimClient>, clients> clients_;
    std::map<std::string, int> runs_; ///< By row key, since the row was last erased.
    std::set<AttemptToken> executed_;
    std::set<AttemptToken> reportedNotRun_;
    std::set<std::string> shedKeys_;
    int openClaims_ = 0;
    bool isViolated_ = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(noScheduleRunsAKeyTwiceOrRunsARequestReportedAsNotRun)
{
    Totals totals;
    int violations = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        Schedule schedule(static_cast<std::uint64_t>(seed), totals);
        schedule.run();
        if (schedule.isViolated()) {
            ++violations;
            BOOST_TEST_MESSAGE("invariant violated by seed " << seed);
        }
    }
    BOOST_TEST(violations == 0);
    BOOST_TEST_MESSAGE("runs " << totals.runs_ << ", after a shed " << totals.runsAfterShed_
                               << ", refused by the gate " << totals.refusedByGate_ << ", erasures "
                               << totals.erasures_);
    for (const auto &[kind, count] : totals.errors_) {
        BOOST_TEST_MESSAGE(toString(kind) << " " << count);
    }
    BOOST_TEST(totals.runs_ > schedules);
    BOOST_TEST(totals.runsAfterShed_ > 0);
    BOOST_TEST(totals.refusedByGate_ > 0);
    BOOST_TEST(totals.erasures_ > 0);
    for (const ErrorKind kind : { ErrorKind::AlreadyClaimed, ErrorKind::ClaimStoreUnavailable,
                                  ErrorKind::ClaimUndecided }) {
        BOOST_TEST(totals.errors_[kind] > 0);
    }
}
