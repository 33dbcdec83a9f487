#include "qz_health/ejection/readmissionprobes.h"

namespace qz {

namespace {

constexpr unsigned successesToReadmit = 3;
/// Minimum time between two probes of one server.
constexpr Duration probePeriod = std::chrono::milliseconds(500);
constexpr Duration pauseAfterFailedProbe = std::chrono::seconds(5);
/// Minimum time between two probes of any servers of the service.
constexpr Duration serviceProbePeriod = std::chrono::milliseconds(200);

} // namespace

void ReadmissionProbes::track(const BackendServerId &server, Duration holdDown, TimePoint now)
{
    tracked_.try_emplace(server, Tracked{ now, now + holdDown, 0 });
}

void ReadmissionProbes::onProbeResult(const BackendServerId &server, bool succeeded, TimePoint now)
{
    const auto entry = tracked_.find(server);
    if (entry == tracked_.end()) {
        return;
    }
    if (succeeded) {
        ++entry->second.consecutiveSuccesses_;
        return;
    }
    entry->second.consecutiveSuccesses_ = 0;
    entry->second.nextProbe_ = now + pauseAfterFailedProbe;
}

std::vector<BackendServerId> ReadmissionProbes::scheduleProbes(TimePoint now)
{
    for (auto &[server, entry] : tracked_) {
        if (now >= nextServiceProbe_ && now >= entry.nextProbe_) {
            entry.nextProbe_ = now + probePeriod;
            nextServiceProbe_ = now + serviceProbePeriod;
            return { server };
        }
    }
    return {};
}

bool ReadmissionProbes::isReady(const BackendServerId &server) const
{
    const auto entry = tracked_.find(server);
    return entry != tracked_.end() && entry->second.consecutiveSuccesses_ >= successesToReadmit;
}

TimePoint ReadmissionProbes::ejectedAt(const BackendServerId &server, TimePoint now) const
{
    const auto entry = tracked_.find(server);
    return entry == tracked_.end() ? now : entry->second.since_;
}

} // namespace qz
