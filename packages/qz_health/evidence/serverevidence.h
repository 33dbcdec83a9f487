// The evidence about a backend server's health that its gate collects.
#pragma once

#include "qz_health/evidence/evidencedigest.h"
#include "qz_health/evidence/observation.h"
#include "qz_health/evidence/servicebaseline.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace qz {

/// Collects evidence about one backend server in bounded memory: counts of results in a sliding
/// window, latency by kind, and cumulative sums (CUSUM) of log-likelihood ratios against the
/// service's baseline. A request in flight counts as soon as it is overdue.
///
/// Call begin() when a request is sent, and end() or discard() when it ends. Call record() alone
/// for a request without begin(), and recordProbe() for a probe.
/// @see EvidenceDigest, OutlierDetector
class ServerEvidence
{
public:
    using InFlightId = std::uint64_t;

    /// Sets the baseline of the service, which its health decider sends periodically.
    void setBaseline(ServiceBaseline baseline) { baseline_ = std::move(baseline); }

    /// Starts to track a request that was sent to the server at @p at.
    InFlightId begin(const std::string &kind, TimePoint at);

    /// Records the result of a request in flight.
    void end(InFlightId id, const Observation &observation);

    /// Stops tracking a request whose result does not depend on the server; for example, the caller
    /// has disconnected.
    void discard(InFlightId id);

    /// Records the result of a request for which begin() was not called.
    void record(const Observation &observation);

    /// Records the result of a probe; its kind is ignored.
    void recordProbe(const Observation &observation);

    /// Returns a summary of the evidence as of @p now, including requests in flight.
    EvidenceDigest digest(TimePoint now) const;

    /// Removes all evidence but keeps the baseline, for a server that was re-admitted or replaced.
    void reset(TimePoint now);

private:
    static constexpr std::size_t bucketCount = 10;
    static constexpr Duration bucketWidth = std::chrono::seconds(1);
    static constexpr std::size_t resultCount = 6;
    static constexpr std::size_t maxInFlight = 64;

    using Counts = std::array<std::uint16_t, resultCount>;

    struct Bucket
    {
        std::int64_t index_ = -1; ///< Number of the second that it counts; -1 if unused.
        Counts counts_{};
    };

    /// Exponentially weighted mean and variance of log latency.
    struct LatencyStat
    {
        std::uint32_t kind_ = 0;
        double count_ = 0;
        double meanLog_ = 0;
        double varianceLog_ = 0;

        void add(double logLatency);
        KindSummary summary() const;
    };

    struct InFlightRequest
    {
        std::uint32_t kind_ = 0;
        TimePoint since_;
    };

    void count(ObservedResult result, TimePoint at);
    void addLatency(std::uint32_t kind, Duration latency);
    void addScores(std::uint32_t kind, const Observation &observation);
    void addConnectScore(bool connected);
    void updateUnhealthySince(TimePoint at);
    double inFlightScore(TimePoint now, TimePoint &earliest) const;
    Counts windowCounts(TimePoint now) const;

    ServiceBaseline baseline_;
    std::array<Bucket, bucketCount> buckets_{};
    std::array<LatencyStat, EvidenceDigest::maxKinds> kinds_{};
    LatencyStat probe_;
    std::map<InFlightId, InFlightRequest> inFlight_; ///< At most maxInFlight.
    InFlightId lastInFlightId_ = 0;
    std::uint16_t consecutiveErrors_ = 0;
    double slowScore_ = 0;       ///< 0 .. maxScore.
    double failScore_ = 0;       ///< 0 .. maxScore.
    double connectScore_ = 0;    ///< 0 .. maxScore.
    double probeScore_ = 0;      ///< minProbeScore .. maxProbeScore.
    double meanLogResidual_ = 0; ///< Recent mean difference of log latency from the baseline.
    /// Set while a score of requests or connects is high.
    std::optional<TimePoint> unhealthySince_;
};

} // namespace qz
