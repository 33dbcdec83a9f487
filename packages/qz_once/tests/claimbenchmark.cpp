// Measures how claims are grouped and what they cost, by rate. Not one of the tests.
#include "qz_core/time/manualtimers.h"
#include "qz_once/claims/claimclient.h"
#include "qz_platform/tests/faketable.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

using namespace qz;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t homes = 2;
constexpr Duration length = 5s;
constexpr Duration step = 500us;
constexpr Duration tableAnswer = 4ms;

/// One process that stands for all entry instances and both claim homes.
struct Fleet
{
    Fleet()
    {
        for (auto &batcher : batchers_) {
            batcher = std::make_unique<ClaimBatcher>(table_, timers_, clock_);
        }
        client_ = ClaimClient::Builder()
                          .setTable(table_)
                          .setTimers(timers_)
                          .setClock(clock_)
                          .setSelf(InstanceId("entry"))
                          .setIncarnation("entry-1")
                          .setRowWriter([this](TableWrite write, RowWriteDone done) {
                              const std::size_t home = std::hash<std::string>{}(write.key_) % homes;
                              batchers_[home]->write(std::move(write), std::move(done));
                          })
                          .build();
    }

    /// Claims at @p rate and prints a line.
    void run(int rate)
    {
        const std::clock_t start = std::clock();
        const auto delivery = timers_.callEvery(tableAnswer, [this] { table_.deliver(); });
        double due = 0;
        int claims = 0;
        Duration waited{};
        for (Duration passed{}; passed < length; passed += step) {
            for (due += rate * std::chrono::duration<double>(step).count(); due >= 1; --due) {
                const TimePoint at = clock_.now();
                client_->claim(WorkspaceId("w"), IdempotencyKey(std::to_string(claims++)), 24h,
                               [&, at](const auto &) { waited += clock_.now() - at; });
            }
            timers_.advance(step);
        }
        timers_.advance(1s);
        const double seconds = std::chrono::duration<double>(length).count();
        const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        const auto commits = static_cast<double>(table_.commitCount());
        std::cout << "claims/s " << rate << " | commits/s " << commits / seconds
                  << " | claims a commit " << claims / commits << " | mean wait ms "
                  << std::chrono::duration<double, std::milli>(waited).count() / claims
                  << " | CPU us a claim " << cpu * 1e6 / claims << " | granted "
                  << client_->counts().grants_ << " of " << claims << "\n";
    }

    ManualClock clock_;
    ManualTimers timers_{ clock_ };
    FakeTable table_;
    std::array<std::unique_ptr<ClaimBatcher>, homes> batchers_;
    std::unique_ptr<ClaimClient> client_;
};

} // namespace

BOOST_AUTO_TEST_CASE(costByRate)
{
    for (const int rate : { 10, 100, 500, 1000, 2000, 3950, 6000 }) {
        Fleet().run(rate);
    }
}
