// The compact form of a server's evidence, which travels between instances.
#pragma once

#include "qz_core/time/clock.h"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace qz {

/// Latency of one kind of work on one server, on a logarithmic scale.
struct KindSummary
{
    std::uint32_t kind_ = 0;  ///< kindHash() of the kind's name.
    std::uint16_t count_ = 0; ///< Observations behind the figures; 0 marks an unused entry.
    float meanLog_ = 0;       ///< Mean of the natural logarithm of the latency in seconds.
    float spreadLog_ = 0;     ///< Standard deviation on the same scale.

    MSGPACK_DEFINE_ARRAY(kind_, count_, meanLog_, spreadLog_)
};

/// What a gate says of its backend server to the service's health decider and to entries.
/// Scores are sums of log-likelihood ratios "sick" against "healthy" in nats, never below 0
/// unless said otherwise.
/// Invariant: its msgpack form is shorter than 200 bytes.
/// @see ServerEvidence, OutlierDetector
struct EvidenceDigest
{
    static constexpr std::size_t maxKinds = 4;

    std::array<KindSummary, maxKinds> kinds_; ///< The kinds seen most, in no order.
    KindSummary probe_;                       ///< Latency of probes.
    // Results of work in the sliding window.
    std::uint16_t succeeded_ = 0;
    std::uint16_t shed_ = 0;
    std::uint16_t failed_ = 0;
    std::uint16_t timedOut_ = 0;
    std::uint16_t connectFailed_ = 0;
    std::uint16_t cut_ = 0;
    std::uint16_t consecutiveErrors_ = 0;
    float slowScore_ = 0;               ///< From latencies of work, requests in flight included.
    float failScore_ = 0;               ///< From failed and cut work.
    float connectScore_ = 0;            ///< From connects, those of probes included.
    float probeScore_ = 0;              ///< From probes; may be negative.
    float slowFactor_ = 1;              ///< Latency relative to the service's other servers.
    std::uint32_t unhealthyTimeMs_ = 0; ///< Time since the evidence of trouble began; 0: none.

    Duration unhealthyTime() const { return std::chrono::milliseconds(unhealthyTimeMs_); }

    /// Ended requests in the sliding window.
    unsigned total() const
    {
        return 0U + succeeded_ + shed_ + failed_ + timedOut_ + connectFailed_ + cut_;
    }

    /// Those of them that did not succeed and were not shed.
    unsigned errors() const { return 0U + failed_ + timedOut_ + connectFailed_ + cut_; }

    MSGPACK_DEFINE_ARRAY(kinds_, probe_, succeeded_, shed_, failed_, timedOut_, connectFailed_,
                         cut_, consecutiveErrors_, slowScore_, failScore_, connectScore_,
                         probeScore_, slowFactor_, unhealthyTimeMs_)
};

/// A short name for a kind, equal on all instances.
std::uint32_t kindHash(std::string_view kind);

/// For state dumps.
nlohmann::json toJson(const EvidenceDigest &digest);

} // namespace qz
