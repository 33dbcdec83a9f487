// A compact summary of a server's evidence, sent between instances.
#pragma once

#include "qz_core/time/clock.h"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace qz {

/// Latency of one kind of request on one server, on a logarithmic scale.
struct KindSummary
{
    std::uint32_t kind_ = 0;  ///< kindHash() of the kind's name.
    std::uint16_t count_ = 0; ///< Effective sample count; 0 if the entry is unused.
    float meanLog_ = 0;       ///< Mean of the natural logarithm of the latency in seconds.
    float spreadLog_ = 0;     ///< Standard deviation on the same scale.

    MSGPACK_DEFINE_ARRAY(kind_, count_, meanLog_, spreadLog_)
};

/// A gate's summary of a backend server for the service's health decider and for entry instances.
/// Scores are sums of log-likelihood ratios of an unhealthy against a healthy server, in nats. They
/// are not negative unless stated otherwise.
/// Invariant: the msgpack form is shorter than 200 bytes.
/// @see ServerEvidence, OutlierDetector
struct EvidenceDigest
{
    static constexpr std::size_t maxKinds = 4;

    std::array<KindSummary, maxKinds> kinds_; ///< The most frequent kinds, in no order.
    KindSummary probe_;                       ///< Latency of probes.
    // Results of requests in the sliding window.
    std::uint16_t succeeded_ = 0;
    std::uint16_t shed_ = 0;
    std::uint16_t failed_ = 0;
    std::uint16_t timedOut_ = 0;
    std::uint16_t connectFailed_ = 0;
    std::uint16_t cut_ = 0;
    std::uint16_t consecutiveErrors_ = 0; ///< Errors since the last success.
    float slowScore_ = 0;               ///< From latencies of requests, including those in flight.
    float failScore_ = 0;               ///< From responses, and from connections closed too early.
    float connectScore_ = 0;            ///< From connects, including those of probes.
    float probeScore_ = 0;              ///< From probes; may be negative.
    float slowFactor_ = 1;              ///< Latency relative to the other servers of the service.
    std::uint32_t unhealthyTimeMs_ = 0; ///< See unhealthyTime().

    /// Returns the time since the first sign of the present fault, or 0 if there is none.
    Duration unhealthyTime() const { return std::chrono::milliseconds(unhealthyTimeMs_); }

    /// Returns the number of completed requests in the sliding window.
    unsigned total() const
    {
        return 0U + succeeded_ + shed_ + failed_ + timedOut_ + connectFailed_ + cut_;
    }

    /// Returns the number of requests in total() that neither succeeded nor were shed.
    unsigned errors() const { return 0U + failed_ + timedOut_ + connectFailed_ + cut_; }

    MSGPACK_DEFINE_ARRAY(kinds_, probe_, succeeded_, shed_, failed_, timedOut_, connectFailed_,
                         cut_, consecutiveErrors_, slowScore_, failScore_, connectScore_,
                         probeScore_, slowFactor_, unhealthyTimeMs_)
};

/// Returns a hash of a request kind's name, equal on all instances.
std::uint32_t kindHash(std::string_view kind);

/// Returns @p digest as JSON for state dumps.
nlohmann::json toJson(const EvidenceDigest &digest);

} // namespace qz
