#include "qz_health/ejection/ejectionreview.h"

#include <algorithm>

namespace qz {

namespace {

constexpr Duration reportLifetime = std::chrono::seconds(2);
constexpr Duration opinionLifetime = std::chrono::seconds(3);
constexpr Duration opinionRequestPeriod = std::chrono::seconds(1);
constexpr unsigned minUnhealthyServers = 2; ///< Fewer unhealthy servers do not make a gate suspect.

/// Returns true if the gate finds most of its servers unhealthy at once. Then the gate itself is
/// probably cut off from them.
bool isGateSuspect(const GateReport &report)
{
    return report.gateUnhealthyCount_ >= minUnhealthyServers
            && report.gateUnhealthyCount_ * 2 > report.gateServerCount_;
}

/// Returns true if the second opinion shows that the fault is not at the server.
bool contradicts(const SecondOpinion &opinion, const GateReport &report)
{
    if (std::holds_alternative<Unreachable>(report.verdict_.state_)) {
        return opinion.reachable_;
    }
    return report.probesFailing_ && opinion.probeSucceeded_;
}

} // namespace

void EjectionReview::onReport(const GateReport &report, TimePoint now)
{
    ServerReview &entry = reviews_[report.server_];
    if (entry.report_.gate_ != report.gate_) {
        entry.opinion_.reset();
    }
    entry.report_ = report;
    entry.reportedAt_ = now;
}

void EjectionReview::onOpinion(const SecondOpinion &opinion, TimePoint now)
{
    const auto entry = reviews_.find(opinion.server_);
    if (entry == reviews_.end() || opinion.domain_ == entry->second.report_.gateDomain_) {
        return;
    }
    entry->second.opinion_ = opinion;
    entry->second.opinionAt_ = now;
}

ReviewResult EjectionReview::review(TimePoint now)
{
    ReviewResult result;
    for (auto &[server, entry] : reviews_) {
        switch (evaluate(entry, now)) {
        case Finding::NoAction:
            break;
        case Finding::NeedsOpinion:
            if (!entry.requestedAt_ || now - *entry.requestedAt_ >= opinionRequestPeriod) {
                entry.requestedAt_ = now;
                result.opinionRequests_.push_back({ server, entry.report_.gateDomain_ });
            }
            break;
        case Finding::GateSuspect:
            result.gateMoves_.push_back({ server, entry.report_.gate_ });
            break;
        case Finding::Candidate:
            result.candidates_.push_back({ server, entry.report_.verdict_.confidence_ });
            break;
        }
    }
    std::stable_sort(result.candidates_.begin(), result.candidates_.end(),
                     [](const auto &a, const auto &b) { return a.severity_ > b.severity_; });
    return result;
}

double EjectionReview::severityOf(const BackendServerId &server, TimePoint now) const
{
    const auto entry = reviews_.find(server);
    if (entry == reviews_.end() || now - entry->second.reportedAt_ > reportLifetime) {
        return 0;
    }
    const Verdict &verdict = entry->second.report_.verdict_;
    return verdict.isUnhealthy() ? verdict.confidence_ : 0;
}

EjectionReview::Finding EjectionReview::evaluate(const ServerReview &entry, TimePoint now)
{
    const GateReport &report = entry.report_;
    if (now - entry.reportedAt_ > reportLifetime || !report.verdict_.allowsEjection()) {
        return Finding::NoAction;
    }
    if (isGateSuspect(report)) {
        return Finding::GateSuspect;
    }
    if (!entry.opinion_ || now - entry.opinionAt_ > opinionLifetime) {
        return Finding::NeedsOpinion;
    }
    return contradicts(*entry.opinion_, report) ? Finding::GateSuspect : Finding::Candidate;
}

} // namespace qz
