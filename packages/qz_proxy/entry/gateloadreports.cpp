// The last load report of each gate.
#include "qz_proxy/entry/gateloadreports.h"

namespace qz {

void GateLoadReports::record(const BackendServerId &server, const GateLoadReport &report,
                             TimePoint now)
{
    Entry &entry = entries_[server];
    entry.report_ = report;
    entry.receivedAt_ = now;
}

void GateLoadReports::fillCandidate(ServerCandidate &candidate, TimePoint now) const
{
    const auto found = entries_.find(candidate.id_);
    if (found == entries_.end()) {
        return;
    }
    const Entry &entry = found->second;
    const Duration age = now - entry.receivedAt_;
    if (age > maxReportAge) {
        return;
    }
    candidate.weight_ = entry.report_.weight_;
    QueueDigest queue;
    queue.queued_ = entry.report_.queued_;
    queue.running_ = entry.report_.running_;
    queue.slots_ = entry.report_.slots_;
    queue.waitByRank_ = entry.report_.waitByRank_;
    queue.age_ = age;
    candidate.digest_ = queue;
}

Duration GateLoadReports::expectedServiceTime(const BackendServerId &server) const
{
    const auto found = entries_.find(server);
    return found == entries_.end() ? Duration::zero() : found->second.report_.expectedServiceTime_;
}

} // namespace qz
