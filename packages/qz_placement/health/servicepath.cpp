// Counts failures of servers since the last success of any.
#include "qz_placement/health/servicepath.h"

#include <algorithm>

namespace qz {

namespace {

/// Servers that must refuse connections. More would let requests wait for each of them in turn.
constexpr std::size_t minRefusingServers = 2;
/// Servers that must let requests without an answer, which those that fail do too.
constexpr std::size_t minSilentServers = 3;
/// Time without a success. While some servers are down, one request may meet several of them.
constexpr Duration minSilence = std::chrono::milliseconds(300);
/// Older failures say nothing about the path now.
constexpr Duration failureMemory = std::chrono::seconds(10);
constexpr Duration firstTrialDelay = std::chrono::seconds(1);
constexpr Duration maxTrialDelay = std::chrono::seconds(4);
/// A failed trial loses a request that is not repeatable.
constexpr Duration nonRepeatableTrialDelay = std::chrono::seconds(5);

} // namespace

void ServicePath::updateLostSince(bool wasLost, TimePoint now)
{
    if (!wasLost && isLost()) {
        lostSince_ = now;
        lastTrial_ = now;
        trialDelay_ = firstTrialDelay;
    }
}

void ServicePath::recordSuccess(Part &part, TimePoint now)
{
    part.failures_.clear();
    part.lastSuccess_ = now;
    part.isLost_ = false;
}

void ServicePath::addFailure(Part &part, const BackendServerId &server, std::size_t needed,
                             TimePoint now)
{
    for (auto entry = part.failures_.begin(); entry != part.failures_.end();) {
        const bool isOld = now - entry->second > failureMemory;
        entry = isOld ? part.failures_.erase(entry) : std::next(entry);
    }
    part.failures_[server] = now;
    part.isLost_ = part.isLost_
            || (part.failures_.size() >= needed && now - part.lastSuccess_ >= minSilence);
}

void ServicePath::recordConnected(TimePoint now)
{
    recordSuccess(opening_, now);
}

void ServicePath::recordAnswer(bool isNewConnection, TimePoint now)
{
    recordSuccess(answers_, now);
    if (isNewConnection) {
        recordSuccess(newAnswers_, now);
    }
}

void ServicePath::recordConnectFailure(const BackendServerId &server, std::size_t serverCount,
                                       TimePoint now)
{
    const bool wasLost = isLost();
    addFailure(opening_, server, std::min(minRefusingServers, serverCount), now);
    updateLostSince(wasLost, now);
}

void ServicePath::recordNoAnswer(const BackendServerId &server, std::size_t serverCount,
                                 bool isNewConnection, TimePoint now)
{
    const bool wasLost = isLost();
    const std::size_t needed = std::min(minSilentServers, serverCount);
    addFailure(answers_, server, needed, now);
    if (isNewConnection) {
        addFailure(newAnswers_, server, needed, now);
    }
    updateLostSince(wasLost, now);
}

bool ServicePath::tryAcquireTrial(bool isRepeatable, TimePoint now)
{
    const Duration delay = isRepeatable ? trialDelay_ : nonRepeatableTrialDelay;
    if (opening_.isLost_ || now - lastTrial_ < delay) {
        return false;
    }
    trialDelay_ = std::min(trialDelay_ * 2, maxTrialDelay);
    lastTrial_ = now;
    return true;
}

} // namespace qz
