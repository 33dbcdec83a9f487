// The baseline of a service, computed from the digests of its servers.
#pragma once

#include "qz_health/evidence/evidencedigest.h"
#include "qz_health/evidence/latencymodel.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace qz {

/// The usual latency by request kind, and the usual failure rate. Both are medians over servers, so
/// that a minority of unhealthy servers does not distort them. Small enough to be sent to each gate
/// of the service.
/// @see ServerEvidence::setBaseline
class ServiceBaseline
{
public:
    ServiceBaseline() = default;

    /// Computes the baseline for one server from the digests of the @p others in its service.
    static ServiceBaseline fromDigests(const std::vector<EvidenceDigest> &others);

    /// Returns the usual latency of the kind with hash @p kind; nothing if there are too few
    /// samples.
    std::optional<LatencyModel> latencyOf(std::uint32_t kind) const;

    /// Returns the usual latency of probes, or a nominal one if there are too few samples.
    LatencyModel probeLatency() const;

    /// Returns the usual share of requests that failed or were cut off, 0..1.
    double failureRate() const { return failureRate_; }

    std::size_t kindCount() const { return kinds_.size(); }

    /// @cond Fields of the msgpack form.
    MSGPACK_DEFINE_ARRAY(kinds_, probe_, failureRate_)
    /// @endcond

private:
    std::vector<KindSummary> kinds_; ///< At most maxBaselineKinds.
    KindSummary probe_;
    float failureRate_ = 0;
};

} // namespace qz
