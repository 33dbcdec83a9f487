// What this entry last heard of each gate's queue.
#include "qz_proxy/entry/gateloadreports.h"

namespace qz {

void GateLoadReports::record(const BackendServerId &server, const GateLoadReport &digest,
                             TimePoint now)
{
    Entry &entry = entries_[server];
    entry.digest_ = digest;
    entry.at_ = now;
}

void GateLoadReports::fillCandidate(ServerCandidate &candidate, TimePoint now) const
{
    const auto found = entries_.find(candidate.id_);
    if (found == entries_.end()) {
        return;
    }
    const Entry &entry = found->second;
    const Duration age = now - entry.at_;
    if (age > digestLifetime) {
        return;
    }
    candidate.weight_ = entry.digest_.weight_;
    QueueDigest queue;
    queue.queued_ = entry.digest_.queued_;
    queue.running_ = entry.digest_.running_;
    queue.slots_ = entry.digest_.slots_;
    queue.waitByRank_ = entry.digest_.waitByRank_;
    queue.age_ = age;
    candidate.digest_ = queue;
}

Duration GateLoadReports::expectedServiceTime(const BackendServerId &server) const
{
    const auto found = entries_.find(server);
    return found == entries_.end() ? Duration::zero() : found->second.digest_.expectedServiceTime_;
}

} // namespace qz
