#include "qz_health/evidence/evidencedigest.h"

#include "qz_core/hashing/rendezvous.h"

namespace qz {

std::uint32_t kindHash(std::string_view kind)
{
    return static_cast<std::uint32_t>(rendezvousWeight("kind", kind));
}

nlohmann::json toJson(const EvidenceDigest &digest)
{
    nlohmann::json json{
        { "succeeded", digest.succeeded_ },
        { "shed", digest.shed_ },
        { "failed", digest.failed_ },
        { "timed_out", digest.timedOut_ },
        { "connect_failed", digest.connectFailed_ },
        { "cut", digest.cut_ },
        { "consecutive_errors", digest.consecutiveErrors_ },
        { "slow_score", digest.slowScore_ },
        { "fail_score", digest.failScore_ },
        { "connect_score", digest.connectScore_ },
        { "probe_score", digest.probeScore_ },
        { "slow_factor", digest.slowFactor_ },
        { "trouble_span_ms", digest.unhealthyTimeMs_ },
        { "kinds", nlohmann::json::array() },
    };
    for (const KindSummary &kind : digest.kinds_) {
        if (kind.count_ > 0) {
            json["kinds"].push_back({ { "kind", kind.kind_ },
                                      { "count", kind.count_ },
                                      { "mean_log_s", kind.meanLog_ },
                                      { "spread_log", kind.spreadLog_ } });
        }
    }
    return json;
}

} // namespace qz
