// A table with random faults and delays.
#pragma once

#include "qz_core/time/manualtimers.h"
#include "qz_platform/tests/faketable.h"

#include <deque>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace qz {

/// Every call takes a random time. With a given probability it has a fault: it is refused, the call
/// or its response is lost, or a write takes effect long after its caller received a timeout.
class RandomTable : public Table
{
public:
    RandomTable(ManualTimers &timers, std::mt19937_64 &random)
        : timers_(timers)
        , random_(random)
    {
    }

    void setFaultProbability(double probability) { faultProbability_ = probability; }
    /// Sets a function that is called with the key of each erased row.
    void setErasedHandler(std::function<void(const std::string &)> handler)
    {
        erased_ = std::move(handler);
    }

    void read(const std::string &key, ReadDone done) override
    {
        if (drawBool(faultProbability_)) {
            callLater(drawDelay(), [done = std::move(done)] {
                done(failure(ErrorKind::StoreTimeout, "fault"));
            });
            return;
        }
        callLater(drawDelay(), [this, key, done = std::move(done)] {
            callLater(drawDelay(), [done, row = rows_.peek(key)] { done(row); });
        });
    }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        if (!drawBool(faultProbability_)) {
            callLater(drawDelay(), [this, writes = std::move(writes), done = std::move(done)] {
                callLater(drawDelay(), [done, decision = apply(writes)] { done(decision); });
            });
            return;
        }
        if (drawBool(0.25)) {
            callLater(drawDelay(), [done = std::move(done)] {
                done(failure(ErrorKind::StoreUnavailable, "fault"));
            });
            return;
        }
        if (drawBool(0.7)) {
            const Duration delay = drawBool(0.5) ? drawDelay() : drawDelay() * 40;
            callLater(delay, [this, writes = std::move(writes)] { apply(writes); });
        }
        callLater(drawDelay(),
                  [done = std::move(done)] { done(failure(ErrorKind::StoreTimeout, "fault")); });
    }

    bool drawBool(double probability) { return std::bernoulli_distribution(probability)(random_); }

    /// Returns up to 40 ms, or with a probability of 5 % up to 2 s.
    Duration drawDelay()
    {
        const int maximum = drawBool(0.05) ? 2000 : 40;
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, maximum)(random_));
    }

    void callLater(Duration delay, std::function<void()> work)
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
    double faultProbability_ = 0;
    std::function<void(const std::string &)> erased_ = [](const std::string &) {};
    std::deque<Timers::HandlePtr> events_;
};

} // namespace qz
