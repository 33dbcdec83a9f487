// What is usual in a service, from the digests of its servers.
#pragma once

#include "qz_health/evidence/evidencedigest.h"
#include "qz_health/evidence/latencymodel.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace qz {

/// Usual latency by kind and usual failure rate: medians over servers, so that a sick
/// minority does not move them. Small enough to be sent to each gate of the service.
/// @see ServerEvidence::setBaseline
class ServiceBaseline
{
public:
    ServiceBaseline() = default;

    /// The baseline for one server from the digests of the service's @p others.
    static ServiceBaseline fromDigests(const std::vector<EvidenceDigest> &others);

    /// Usual latency of a kind by its hash; none if too little is known.
    std::optional<LatencyModel> latencyOf(std::uint32_t kind) const;

    /// Usual latency of probes; a nominal one while little is known.
    LatencyModel probeLatency() const;

    /// The usual share of failed and cut requests, 0..1.
    double failureRate() const { return failureRate_; }

    std::size_t kindCount() const { return kinds_.size(); }

    /// @cond The msgpack form.
    MSGPACK_DEFINE_ARRAY(kinds_, probe_, failureRate_)
    /// @endcond

private:
    std::vector<KindSummary> kinds_; ///< Bounded by maxBaselineKinds.
    KindSummary probe_;
    float failureRate_ = 0;
};

} // namespace qz
