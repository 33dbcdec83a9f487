// The evidence that a gate gathers of its backend server.
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

/// Bounded evidence of one backend server as its gate sees it: sliding counts of results,
/// latency by kind, and cumulative sums (CUSUM) of log-likelihood ratios against the
/// service's baseline. A request still in flight counts from the moment it is overdue.
///
/// Call begin() and end() around each request; record() alone for one whose begin was not
/// seen. Probes go to recordProbe().
/// @see EvidenceDigest, OutlierDetector
class ServerEvidence
{
public:
    using InFlightId = std::uint64_t;

    /// What is usual in the service; sent by its health decider from time to time.
    void setBaseline(ServiceBaseline baseline) { baseline_ = std::move(baseline); }

    /// A request was dispatched to the server at @p at.
    InFlightId begin(const std::string &kind, TimePoint at);

    /// The request ended. A result that says nothing of the server (a caller that left) is
    /// passed to discard() instead.
    void end(InFlightId flight, const Observation &observation);

    /// The request ended in a way that says nothing of the server.
    void discard(InFlightId flight);

    void record(const Observation &observation);

    /// A probe ended; its kind is ignored.
    void recordProbe(const Observation &observation);

    /// The evidence as of @p now, requests in flight included.
    EvidenceDigest digest(TimePoint now) const;

    /// Drops all evidence, for a server that was re-admitted or replaced.
    void reset(TimePoint now);

private:
    static constexpr std::size_t bucketCount = 10;
    static constexpr Duration bucketWidth = std::chrono::seconds(1);
    static constexpr std::size_t resultCount = 6;
    static constexpr std::size_t maxFlights = 64;

    using Counts = std::array<std::uint16_t, resultCount>;

    struct Bucket
    {
        std::int64_t index_ = -1; ///< Which second it counts.
        Counts counts_{};
    };

    /// Running mean and variance of log latency, with forgetting.
    struct LatencyStat
    {
        std::uint32_t kind_ = 0;
        double count_ = 0;
        double meanLog_ = 0;
        double varianceLog_ = 0;

        void add(double logLatency);
        KindSummary summary() const;
    };

    struct Flight
    {
        std::uint32_t kind_ = 0;
        TimePoint since_;
    };

    void count(ObservedResult result, TimePoint at);
    void addLatency(std::uint32_t kind, Duration latency);
    void addScores(std::uint32_t kind, const Observation &observation);
    void addConnectScore(bool connected);
    void noteTrouble(TimePoint at);
    double flightScore(TimePoint now, TimePoint &earliest) const;
    Counts windowCounts(TimePoint now) const;

    ServiceBaseline baseline_;
    std::array<Bucket, bucketCount> buckets_{};
    std::array<LatencyStat, EvidenceDigest::maxKinds> kinds_{};
    LatencyStat probe_;
    std::map<InFlightId, Flight> flights_; ///< Never more than maxFlights.
    InFlightId lastFlight_ = 0;
    std::uint16_t consecutiveErrors_ = 0;
    double slowScore_ = 0;                  ///< 0 .. maxScore.
    double failScore_ = 0;                  ///< 0 .. maxScore.
    double connectScore_ = 0;               ///< 0 .. maxScore.
    double probeScore_ = 0;                 ///< minProbeScore .. maxProbeScore.
    double slowResidual_ = 0;               ///< Recent mean of log latency over the baseline's.
    std::optional<TimePoint> troubleSince_; ///< Set while any score of work is above 0.
};

} // namespace qz
