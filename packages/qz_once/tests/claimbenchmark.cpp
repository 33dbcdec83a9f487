// Benchmark: measures the batches, waiting time and CPU time of claims by rate. Not run as a test.
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

constexpr std::size_t batcherCount = 2;
constexpr Duration duration = 5s;
constexpr Duration step = 500us;
constexpr Duration tableResponseTime = 4ms;

/// Simulates all entry instances with one client, whose writes are spread over two batchers.
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
                              const std::size_t index =
                                      std::hash<std::string>{}(write.key_) % batcherCount;
                              batchers_[index]->write(std::move(write), std::move(done));
                          })
                          .build();
    }

    /// Claims keys at @p rate per second and prints one line of results.
    void run(int rate)
    {
        const std::clock_t start = std::clock();
        const auto delivery = timers_.callEvery(tableResponseTime, [this] { table_.deliver(); });
        double due = 0;
        int claims = 0;
        Duration totalWait{};
        for (Duration passed{}; passed < duration; passed += step) {
            for (due += rate * std::chrono::duration<double>(step).count(); due >= 1; --due) {
                const TimePoint at = clock_.now();
                client_->claim(WorkspaceId("w"), IdempotencyKey(std::to_string(claims++)), 24h,
                               [&, at](const auto &) { totalWait += clock_.now() - at; });
            }
            timers_.advance(step);
        }
        timers_.advance(1s);
        const double seconds = std::chrono::duration<double>(duration).count();
        const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        const auto commits = static_cast<double>(table_.commitCount());
        std::cout << "claims/s " << rate << " | commits/s " << commits / seconds
                  << " | claims per commit " << claims / commits << " | mean wait ms "
                  << std::chrono::duration<double, std::milli>(totalWait).count() / claims
                  << " | CPU us per claim " << cpu * 1e6 / claims << " | granted "
                  << client_->counts().grants_ << " of " << claims << "\n";
    }

    ManualClock clock_;
    ManualTimers timers_{ clock_ };
    FakeTable table_;
    std::array<std::unique_ptr<ClaimBatcher>, batcherCount> batchers_;
    std::unique_ptr<ClaimClient> client_;
};

} // namespace

BOOST_AUTO_TEST_CASE(costByRate)
{
    for (const int rate : { 10, 100, 500, 1000, 2000, 3950, 6000 }) {
        Fleet().run(rate);
    }
}
