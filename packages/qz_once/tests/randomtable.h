// A table whose calls meet a random fate at a random time.
#pragma once

#include "qz_core/time/manualtimers.h"
#include "qz_platform/tests/faketable.h"

#include <deque>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace qz {

/// Each call is refused, or carried out and answered, or its answer or the call itself is lost,
/// or it is carried out long after its answer was given up.
class RandomTable : public Table
{
public:
    RandomTable(ManualTimers &timers, std::mt19937_64 &random)
        : timers_(timers)
        , random_(random)
    {
    }

    void setFaultShare(double share) { faultShare_ = share; }
    void setErased(std::function<void(const std::string &)> erased) { erased_ = std::move(erased); }

    void read(const std::string &key, ReadDone done) override
    {
        if (isHit(faultShare_)) {
            later(drawDelay(),
                  [done = std::move(done)] { done(failure(ErrorKind::StoreTimeout, "fault")); });
            return;
        }
        later(drawDelay(), [this, key, done = std::move(done)] {
            later(drawDelay(), [done, row = rows_.peek(key)] { done(row); });
        });
    }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        if (!isHit(faultShare_)) {
            later(drawDelay(), [this, writes = std::move(writes), done = std::move(done)] {
                later(drawDelay(), [done, decision = apply(writes)] { done(decision); });
            });
            return;
        }
        if (isHit(0.25)) {
            later(drawDelay(), [done = std::move(done)] {
                done(failure(ErrorKind::StoreUnavailable, "fault"));
            });
            return;
        }
        if (isHit(0.7)) {
            const Duration delay = isHit(0.5) ? drawDelay() : drawDelay() * 40;
            later(delay, [this, writes = std::move(writes)] { apply(writes); });
        }
        later(drawDelay(),
              [done = std::move(done)] { done(failure(ErrorKind::StoreTimeout, "fault")); });
    }

    bool isHit(double share) { return std::bernoulli_distribution(share)(random_); }

    /// Mostly some milliseconds, seldom seconds.
    Duration drawDelay()
    {
        const int longest = isHit(0.05) ? 2000 : 40;
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, longest)(random_));
    }

    void later(Duration delay, std::function<void()> work)
    {
        events_.push_back(timers_.callAfter(delay, std::move(work)));
    }

private:
    CommitDecision apply(const std::vector<TableWrite> &writes)
    {
        CommitDecision decision;
        rows_.commit(writes, [&](const auto &result) { decision = result.value(); });
        rows_.deliver();
        for (const TableWrite &write : writes) {
            if (decision.isApplied() && !write.value_) {
                erased_(write.key_);
            }
        }
        return decision;
    }

    ManualTimers &timers_;
    std::mt19937_64 &random_;
    FakeTable rows_;
    double faultShare_ = 0;
    std::function<void(const std::string &)> erased_ = [](const std::string &) {};
    std::deque<Timers::HandlePtr> events_;
};

} // namespace qz
