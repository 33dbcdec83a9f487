#include "qz_health/ejection/readmissionprobes.h"

namespace qz {

namespace {

constexpr unsigned goodProbesToReadmit = 3;
constexpr Duration probePeriod = std::chrono::milliseconds(500);
constexpr Duration pauseAfterBadProbe = std::chrono::seconds(5);
constexpr Duration budgetPeriod = std::chrono::milliseconds(200); ///< One probe a service.

} // namespace

void ReadmissionProbes::track(const BackendServerId &server, Duration holdDown, TimePoint now)
{
    tracked_.try_emplace(server, Tracked{ now, now + holdDown, 0 });
}

void ReadmissionProbes::onProbeResult(const BackendServerId &server, bool good, TimePoint now)
{
    const auto entry = tracked_.find(server);
    if (entry == tracked_.end()) {
        return;
    }
    if (good) {
        ++entry->second.goodInRow_;
        return;
    }
    entry->second.goodInRow_ = 0;
    entry->second.nextProbe_ = now + pauseAfterBadProbe;
}

std::vector<BackendServerId> ReadmissionProbes::due(TimePoint now)
{
    for (auto &[server, entry] : tracked_) {
        if (now >= nextBudget_ && now >= entry.nextProbe_) {
            entry.nextProbe_ = now + probePeriod;
            nextBudget_ = now + budgetPeriod;
            return { server };
        }
    }
    return {};
}

bool ReadmissionProbes::isReady(const BackendServerId &server) const
{
    const auto entry = tracked_.find(server);
    return entry != tracked_.end() && entry->second.goodInRow_ >= goodProbesToReadmit;
}

TimePoint ReadmissionProbes::ejectedAt(const BackendServerId &server, TimePoint now) const
{
    const auto entry = tracked_.find(server);
    return entry == tracked_.end() ? now : entry->second.since_;
}

} // namespace qz
