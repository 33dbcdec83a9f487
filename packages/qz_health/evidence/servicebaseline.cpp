#include "qz_health/evidence/servicebaseline.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace qz {

namespace {

constexpr std::size_t maxBaselineKinds = 16;
constexpr unsigned minKindSamples = 8;  ///< Over all servers, for a kind to have a baseline.
constexpr unsigned minProbeSamples = 3; ///< Over all servers, to replace the nominal latency.
constexpr double minSpreadLog = 0.35;
constexpr Duration nominalProbeLatency = std::chrono::milliseconds(25);

float median(std::vector<float> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Merges the summaries of one kind from several servers.
KindSummary merge(const std::vector<KindSummary> &servers)
{
    std::vector<float> means;
    std::vector<float> spreads;
    unsigned count = 0;
    for (const KindSummary &server : servers) {
        means.push_back(server.meanLog_);
        spreads.push_back(server.spreadLog_);
        count += server.count_;
    }
    KindSummary merged = servers.front();
    merged.count_ = static_cast<std::uint16_t>(std::min(count, 0xffffU));
    merged.meanLog_ = median(std::move(means));
    merged.spreadLog_ = median(std::move(spreads));
    return merged;
}

LatencyModel modelOf(const KindSummary &summary)
{
    return LatencyModel{ summary.meanLog_, std::max<double>(summary.spreadLog_, minSpreadLog) };
}

} // namespace

ServiceBaseline ServiceBaseline::fromDigests(const std::vector<EvidenceDigest> &others)
{
    std::map<std::uint32_t, std::vector<KindSummary>> kinds;
    std::vector<KindSummary> probes;
    std::vector<float> failureRates;
    for (const EvidenceDigest &digest : others) {
        for (const KindSummary &kind : digest.kinds_) {
            if (kind.count_ > 0) {
                kinds[kind.kind_].push_back(kind);
            }
        }
        if (digest.probe_.count_ > 0) {
            probes.push_back(digest.probe_);
        }
        if (digest.total() > 0) {
            const float errors = static_cast<float>(digest.failed_ + digest.cut_);
            failureRates.push_back(errors / static_cast<float>(digest.total()));
        }
    }
    ServiceBaseline baseline;
    for (const auto &[kind, servers] : kinds) {
        const KindSummary merged = merge(servers);
        if (merged.count_ >= minKindSamples && baseline.kinds_.size() < maxBaselineKinds) {
            baseline.kinds_.push_back(merged);
        }
    }
    if (!probes.empty()) {
        baseline.probe_ = merge(probes);
    }
    if (!failureRates.empty()) {
        baseline.failureRate_ = median(std::move(failureRates));
    }
    return baseline;
}

std::optional<LatencyModel> ServiceBaseline::latencyOf(std::uint32_t kind) const
{
    for (const KindSummary &summary : kinds_) {
        if (summary.kind_ == kind) {
            return modelOf(summary);
        }
    }
    return std::nullopt;
}

LatencyModel ServiceBaseline::probeLatency() const
{
    if (probe_.count_ >= minProbeSamples) {
        return modelOf(probe_);
    }
    return LatencyModel{ logSeconds(nominalProbeLatency), minSpreadLog };
}

} // namespace qz
