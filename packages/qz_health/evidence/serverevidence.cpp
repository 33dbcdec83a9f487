#include "qz_health/evidence/serverevidence.h"

#include <algorithm>
#include <cmath>

namespace qz {

namespace {

// Scores and log-likelihood ratios are in nats.
constexpr double maxScore = 24;
constexpr double minProbeScore = -6;
constexpr double maxProbeScore = 10;
/// Limits the weight of old observations in a latency mean.
constexpr double maxEffectiveSamples = 60;
constexpr double slowFactorGain = 0.25; ///< Weight of the latest request in the slow factor.
constexpr double minUnhealthyScore = 2; ///< Lower scores also occur with healthy servers.

constexpr double unhealthyFailureRate = 0.5;
constexpr double minBaselineFailureRate = 0.02;
constexpr double maxBaselineFailureRate = 0.4;
constexpr double connectFailedLogRatio = 4;
constexpr double connectedLogRatio = -4;
constexpr double probeFailedLogRatio = 3;

double bounded(double score)
{
    return std::clamp(score, 0.0, maxScore);
}

bool isError(ObservedResult result)
{
    return result != ObservedResult::Succeeded && result != ObservedResult::Shed;
}

/// Returns the log-likelihood ratio of one response, given the usual failure rate.
double failureLogRatio(bool failed, double usualRate)
{
    const double usual = std::clamp(usualRate, minBaselineFailureRate, maxBaselineFailureRate);
    return failed ? std::log(unhealthyFailureRate / usual)
                  : std::log((1 - unhealthyFailureRate) / (1 - usual));
}

} // namespace

void ServerEvidence::LatencyStat::add(double logLatency)
{
    count_ = std::min(count_ + 1, maxEffectiveSamples);
    const double delta = logLatency - meanLog_;
    meanLog_ += delta / count_;
    varianceLog_ += (delta * (logLatency - meanLog_) - varianceLog_) / count_;
}

KindSummary ServerEvidence::LatencyStat::summary() const
{
    KindSummary summary;
    summary.kind_ = kind_;
    summary.count_ = static_cast<std::uint16_t>(count_);
    summary.meanLog_ = static_cast<float>(meanLog_);
    summary.spreadLog_ = static_cast<float>(std::sqrt(std::max(varianceLog_, 0.0)));
    return summary;
}

ServerEvidence::InFlightId ServerEvidence::begin(const std::string &kind, TimePoint at)
{
    const InFlightId id = ++lastInFlightId_;
    if (inFlight_.size() < maxInFlight) {
        inFlight_[id] = InFlightRequest{ kindHash(kind), at };
    }
    return id;
}

void ServerEvidence::end(InFlightId id, const Observation &observation)
{
    inFlight_.erase(id);
    record(observation);
}

void ServerEvidence::discard(InFlightId id)
{
    inFlight_.erase(id);
}

void ServerEvidence::record(const Observation &observation)
{
    const std::uint32_t kind = kindHash(observation.kind_);
    count(observation.result_, observation.at_);
    addScores(kind, observation);
    if (observation.result_ == ObservedResult::Succeeded) {
        addLatency(kind, observation.latency_);
    }
    updateUnhealthySince(observation.at_);
}

void ServerEvidence::recordProbe(const Observation &observation)
{
    const bool connected = observation.result_ != ObservedResult::ConnectFailed;
    addConnectScore(connected);
    const LatencyModel usual = baseline_.probeLatency();
    double ratio = 0;
    if (observation.result_ == ObservedResult::Succeeded) {
        ratio = usual.completedLogRatio(observation.latency_);
        probe_.add(logSeconds(observation.latency_));
    } else if (connected) {
        ratio = probeFailedLogRatio;
    }
    probeScore_ = std::clamp(probeScore_ + ratio, minProbeScore, maxProbeScore);
    updateUnhealthySince(observation.at_);
}

EvidenceDigest ServerEvidence::digest(TimePoint now) const
{
    EvidenceDigest digest;
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        digest.kinds_[i] = kinds_[i].summary();
    }
    digest.probe_ = probe_.summary();
    const Counts counts = windowCounts(now);
    const auto countOf = [&](ObservedResult result) {
        return counts[static_cast<std::size_t>(result)];
    };
    digest.succeeded_ = countOf(ObservedResult::Succeeded);
    digest.shed_ = countOf(ObservedResult::Shed);
    digest.failed_ = countOf(ObservedResult::Failed);
    digest.timedOut_ = countOf(ObservedResult::TimedOut);
    digest.connectFailed_ = countOf(ObservedResult::ConnectFailed);
    digest.cut_ = countOf(ObservedResult::Cut);
    digest.consecutiveErrors_ = consecutiveErrors_;
    TimePoint since = unhealthySince_.value_or(now);
    digest.slowScore_ = static_cast<float>(bounded(slowScore_ + inFlightScore(now, since)));
    digest.failScore_ = static_cast<float>(failScore_);
    digest.connectScore_ = static_cast<float>(connectScore_);
    digest.probeScore_ = static_cast<float>(probeScore_);
    digest.slowFactor_ = static_cast<float>(std::exp(meanLogResidual_));
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
    digest.unhealthyTimeMs_ = static_cast<std::uint32_t>(span.count());
    return digest;
}

void ServerEvidence::reset(TimePoint now)
{
    ServiceBaseline baseline = std::move(baseline_);
    const InFlightId lastInFlightId = lastInFlightId_;
    *this = ServerEvidence();
    baseline_ = std::move(baseline);
    lastInFlightId_ = lastInFlightId;
    updateUnhealthySince(now);
}

void ServerEvidence::count(ObservedResult result, TimePoint at)
{
    const std::int64_t index = at.time_since_epoch() / bucketWidth;
    Bucket &bucket = buckets_[static_cast<std::size_t>(index) % bucketCount];
    if (bucket.index_ != index) {
        bucket = Bucket{ index, {} };
    }
    ++bucket.counts_[static_cast<std::size_t>(result)];
    if (isError(result)) {
        ++consecutiveErrors_;
    } else if (result == ObservedResult::Succeeded) {
        consecutiveErrors_ = 0;
    }
}

void ServerEvidence::addLatency(std::uint32_t kind, Duration latency)
{
    // If all entries are in use, a new kind replaces the one with the fewest observations.
    LatencyStat *place = &kinds_.front();
    for (LatencyStat &stat : kinds_) {
        if (stat.count_ > 0 && stat.kind_ == kind) {
            place = &stat;
            break;
        }
        if (stat.count_ < place->count_) {
            place = &stat;
        }
    }
    if (place->count_ == 0 || place->kind_ != kind) {
        *place = LatencyStat{ kind };
    }
    place->add(logSeconds(latency));
}

void ServerEvidence::addScores(std::uint32_t kind, const Observation &observation)
{
    if (observation.result_ == ObservedResult::Shed) {
        return;
    }
    addConnectScore(observation.result_ != ObservedResult::ConnectFailed);
    if (observation.result_ == ObservedResult::ConnectFailed) {
        return;
    }
    const auto usual = baseline_.latencyOf(kind);
    if (observation.result_ == ObservedResult::TimedOut) {
        slowScore_ =
                bounded(slowScore_ + (usual ? usual->pendingLogRatio(observation.latency_) : 0));
        return;
    }
    const bool failed = isError(observation.result_);
    failScore_ = bounded(failScore_ + failureLogRatio(failed, baseline_.failureRate()));
    if (!failed && usual) {
        slowScore_ = bounded(slowScore_ + usual->completedLogRatio(observation.latency_));
        const double residual = logSeconds(observation.latency_) - usual->meanLog_;
        meanLogResidual_ += slowFactorGain * (residual - meanLogResidual_);
    }
}

void ServerEvidence::addConnectScore(bool connected)
{
    connectScore_ =
            bounded(connectScore_ + (connected ? connectedLogRatio : connectFailedLogRatio));
}

void ServerEvidence::updateUnhealthySince(TimePoint at)
{
    if (std::max({ slowScore_, failScore_, connectScore_ }) < minUnhealthyScore) {
        unhealthySince_.reset();
        return;
    }
    if (!unhealthySince_) {
        unhealthySince_ = at;
    }
}

double ServerEvidence::inFlightScore(TimePoint now, TimePoint &earliest) const
{
    double score = 0;
    for (const auto &[id, request] : inFlight_) {
        const auto usual = baseline_.latencyOf(request.kind_);
        const double ratio = usual ? usual->pendingLogRatio(now - request.since_) : 0;
        score += ratio;
        if (ratio >= minUnhealthyScore) {
            earliest = std::min(earliest, request.since_);
        }
    }
    return score;
}

ServerEvidence::Counts ServerEvidence::windowCounts(TimePoint now) const
{
    const std::int64_t newest = now.time_since_epoch() / bucketWidth;
    Counts sum{};
    for (const Bucket &bucket : buckets_) {
        const bool inWindow = bucket.index_ > newest - static_cast<std::int64_t>(bucketCount);
        for (std::size_t i = 0; inWindow && i < resultCount; ++i) {
            sum[i] = static_cast<std::uint16_t>(sum[i] + bucket.counts_[i]);
        }
    }
    return sum;
}

} // namespace qz
