// State that the requests of an instance share.
#include "qz_forward/requests/forwarder.h"

#include "qz_core/logging/logger.h"
#include "qz_forward/requests/forwardedrequest.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace qz {

namespace {

/// Number of requests that can be deferred after a start; each takes a few kilobytes.
constexpr std::size_t maxDeferredRequests = 500;

constexpr int statusMisdirectedRequest = 421;
/// Value of the field by which a server says that it leaves.
constexpr std::string_view leavingValue = "1";

/// Parses requests per second. A text that is no such number names no limit.
std::optional<double> parseRate(const std::string &text)
{
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber && std::isfinite(value) && value >= 0.0 ? std::optional(value) : std::nullopt;
}

} // namespace

Forwarder::Forwarder(EventLoop &loop, ForwardSettings settings, BackendTable &backends,
                     ForwardMetrics &metrics)
    : loop_(loop)
    , settings_(std::move(settings))
    , backends_(backends)
    , metrics_(metrics)
    , unusedAllowance_(settings_.retryBudget_, loop.now())
    , crashDetector_(
              loop, settings_.connectTimeout_,
              [this](const Backend &server) { return referenceServers(server); },
              [this](const CrashHistory &crash) {
                  applyCrashes(crash, "connections");
                  if (crashListener_) {
                      crashListener_(crash);
                  }
              })
    , random_(std::random_device{}())
{
}

Forwarder::~Forwarder() = default;

void Forwarder::setSlackPart(double slackPart)
{
    const TimePoint now = loop_.now();
    unusedAllowance_.setSlackPart(slackPart, now);
    for (auto &[service, allowance] : allowances_) {
        allowance.setSlackPart(slackPart, now);
    }
}

RetryAllowance &Forwarder::allowance(const ServiceId &service)
{
    return allowances_.try_emplace(service, unusedAllowance_).first->second;
}

void Forwarder::deferRequests(Duration limit)
{
    deferralTimer_ = loop_.callAfter(limit, [this] { startDeferredRequests(); });
}

void Forwarder::startDeferredRequests()
{
    deferralTimer_.reset();
    for (ForwardedRequest *request : std::exchange(deferred_, {})) {
        request->start();
    }
}

void Forwarder::startStopping(TimePoint lateFrom, TimePoint stopTime)
{
    lateFrom_ = lateFrom;
    stopTime_ = stopTime;
    for (const auto &[key, request] : requests_) {
        request->applyStopTime();
    }
}

void Forwarder::handle(const std::shared_ptr<CallerExchange> &exchange)
{
    auto owned = std::make_unique<ForwardedRequest>(*this, exchange);
    ForwardedRequest &request = *owned;
    requests_.emplace(&request, std::move(owned));
    if (deferralTimer_ != nullptr && deferred_.size() < maxDeferredRequests) {
        deferred_.push_back(&request);
    } else {
        request.start();
    }
}

ServerRole Forwarder::serverRole(const Backend &server) const
{
    return serverRoleProvider_ ? serverRoleProvider_(server) : ServerRole::Owner;
}

RouteLatency &Forwarder::latency(const ServiceId &service, const RequestRoute &route)
{
    RouteLatency &latency = latencies_[{ service, route.name_ }];
    latency.setTarget(route.target_);
    return latency;
}

bool Forwarder::canEndBeforeStop(const ServiceId &service, const RequestRoute &route,
                                 TimePoint deadline)
{
    if (!stopTime_ || deadline <= *stopTime_) {
        return true;
    }
    const TimePoint now = loop_.now();
    const RouteLatency &routeLatency = latency(service, route);
    if (now < lateFrom_) {
        return now + routeLatency.overdueAge() <= *stopTime_;
    }
    const auto bound = routeLatency.upperBound();
    return bound && now + *bound <= *stopTime_;
}

void Forwarder::ejectIfOverdue(Backend &server, bool isRepeatable)
{
    const auto sentAt = server.overdueRequestStart(loop_.now());
    if (sentAt && server.health().recordOverdue(*sentAt, isRepeatable, loop_.now())) {
        logEjection(server, "overdue");
    }
}

void Forwarder::logEjection(const Backend &server, std::string_view cause)
{
    const Duration ejectionTime = server.health().ejectedUntil() - loop_.now();
    metrics_.countEjection(server.listed().service_.value());
    log(LogLevel::Info, "server-held",
        { { "server", server.listed().id_.value() },
          { "service", server.listed().service_.value() },
          { "cause", cause },
          { "hold_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(ejectionTime).count() },
          { "in_flight", server.inFlight() } });
}

void Forwarder::recordAttempt(Backend &server, AttemptResult result, Duration elapsed,
                              const RequestRoute &route)
{
    const TimePoint now = loop_.now();
    const auto previousState = server.health().state(now);
    const ServiceId &service = server.listed().service_;
    RouteLatency &routeLatency = latency(service, route);
    metrics_.countAttempt(service.value(), result);
    const AttemptEnd end = routeLatency.makeEnd(result, elapsed, route.isRepeatable_);
    if (result == AttemptResult::Answered) {
        routeLatency.record(elapsed, now);
    }
    if (server.health().record(end, now)) {
        logEjection(server, toString(result));
        if (healthListener_ && isServerFault(result)) {
            healthListener_(server, server.health().ejectedUntil() - now);
        }
        return;
    }
    if (previousState != ServerHealth::State::Good
        && server.health().state(now) == ServerHealth::State::Good) {
        log(LogLevel::Info, "server-recovered",
            { { "server", server.listed().id_.value() }, { "service", service.value() } });
        if (healthListener_) {
            healthListener_(server, Duration::zero());
        }
    }
}

void Forwarder::recordStatements(Backend &server, const HttpHead &head)
{
    if (head.status_ == statusMisdirectedRequest) {
        return; // Another server has taken over the address.
    }
    const bool isLimitNews = recordNamedLimit(server, head);
    const bool isLeavingNews = recordNamedLeaving(server, head);
    if ((isLimitNews || isLeavingNews) && statementListener_) {
        server.rateLimit().recordReport(loop_.now());
        statementListener_(server);
    }
}

bool Forwarder::recordNamedLeaving(const Backend &server, const HttpHead &head)
{
    const auto text = head.headers_.find(settings_.headers_.leaving_);
    if (!text) {
        return false;
    }
    if (*text != leavingValue) {
        log(LogLevel::Warning, "server-leaving-malformed",
            { { "server", server.listed().id_.value() }, { "value", *text } });
        return false;
    }
    const ListedBackend &listed = server.listed();
    const bool isNews = backends_.recordLeaving(listed.id_, listed.incarnation_);
    if (isNews) {
        logLeaving(listed.id_, listed.incarnation_, "response");
    }
    return isNews;
}

void Forwarder::applyReportedLeaving(const BackendServerId &id, std::int64_t incarnation)
{
    if (backends_.recordLeaving(id, incarnation)) {
        logLeaving(id, incarnation, "report");
    }
}

void Forwarder::logLeaving(const BackendServerId &id, std::int64_t incarnation,
                           std::string_view source)
{
    log(LogLevel::Info, "server-leaving",
        { { "server", id.value() }, { "incarnation", incarnation }, { "source", source } });
}

bool Forwarder::recordNamedLimit(Backend &server, const HttpHead &head)
{
    const TimePoint now = loop_.now();
    const auto text = head.headers_.find(settings_.headers_.rateLimit_);
    const auto rate = text ? parseRate(*text) : std::nullopt;
    if (text && !rate) {
        log(LogLevel::Warning, "server-limit-malformed",
            { { "server", server.listed().id_.value() }, { "value", *text } });
    }
    if (!rate && head.headers_.find(settings_.headers_.notRun_)) {
        return false; // A rejection does not say whether the limit still applies.
    }
    const bool isChanged =
            rate ? server.rateLimit().set(*rate, now) : server.rateLimit().clear(now);
    if (isChanged) {
        logLimit(server, "response");
    }
    return isChanged || (rate && server.rateLimit().isReportDue(now));
}

void Forwarder::applyReportedLimit(Backend &server, std::optional<double> requestsPerSecond)
{
    const TimePoint now = loop_.now();
    const bool isChanged = requestsPerSecond ? server.rateLimit().set(*requestsPerSecond, now)
                                             : server.rateLimit().clear(now);
    server.rateLimit().recordReport(now);
    if (isChanged) {
        logLimit(server, "report");
    }
}

void Forwarder::logLimit(const Backend &server, std::string_view source)
{
    const auto rate = server.rateLimit().requestsPerSecond(loop_.now());
    log(LogLevel::Info, "server-limited",
        { { "server", server.listed().id_.value() },
          { "service", server.listed().service_.value() },
          { "source", source },
          { "limited", rate.has_value() },
          { "per_second", rate.value_or(0.0) } });
}

Duration Forwarder::reserveReturn(const ServiceId &service,
                                  const std::vector<std::shared_ptr<Backend>> &servers,
                                  Duration limit)
{
    const TimePoint now = loop_.now();
    std::optional<Duration> soonest;
    double rate = 0.0;
    for (const auto &server : servers) {
        const auto wait = server->rateLimit().timeUntilFree(now);
        if (wait == Duration::zero()) {
            return Duration::zero();
        }
        if (wait) {
            soonest = std::min(soonest.value_or(*wait), *wait);
            rate += server->rateLimit().ownRate();
        }
    }
    if (!soonest) {
        return Duration::zero();
    }
    const auto interval =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate));
    TimePoint &last = lastReturns_[service];
    last = std::min(std::max(now + *soonest, last + interval), now + limit);
    return last - now;
}

int Forwarder::crashCount(const RequestFingerprint &request) const
{
    return quarantine_.crashCount(request, crashDetector_.suspectedCrashes(request));
}

std::optional<Duration> Forwarder::quarantineTime(const RequestFingerprint &request)
{
    const auto hold = quarantine_.find(request, loop_.now());
    if (!hold) {
        return std::nullopt;
    }
    const bool isTrial = hold->untilTrial_ == Duration::zero()
            && (!trialTurnProvider_ || trialTurnProvider_(request, hold->turn_));
    if (!isTrial) {
        return std::max(hold->untilTrial_, quarantine_.limits().trialTurn_);
    }
    quarantine_.recordTrial(request, loop_.now());
    log(LogLevel::Info, "quarantine-trial", { { "fingerprint", toString(request) } });
    return std::nullopt;
}

void Forwarder::recordBrokenConnection(const std::shared_ptr<Backend> &server, CrashHistory request)
{
    crashDetector_.observe(server, std::move(request));
}

std::vector<std::shared_ptr<Backend>> Forwarder::referenceServers(const Backend &server)
{
    constexpr std::size_t limit = 4;
    std::vector<std::shared_ptr<Backend>> found;
    for (const auto &[id, other] : backends_.all()) {
        if (other.get() != &server && other->isOpen()
            && other->health().state(loop_.now()) == ServerHealth::State::Good) {
            found.push_back(other);
        }
    }
    std::shuffle(found.begin(), found.end(), random_);
    found.resize(std::min(found.size(), limit));
    return found;
}

void Forwarder::recordAnswered(const RequestFingerprint &request)
{
    crashDetector_.dismiss(request);
    CrashHistory answered;
    answered.request_ = request;
    answered.answeredAt_ = loop_.now();
    if (quarantine_.crashCount(request) == 0) {
        return;
    }
    applyCrashes(answered, "response");
    if (crashListener_) {
        crashListener_(answered);
    }
}

void Forwarder::applyReportedCrashes(const CrashHistory &history)
{
    applyCrashes(history, "report");
}

void Forwarder::applyCrashes(const CrashHistory &history, std::string_view source)
{
    if (!quarantine_.merge(history, loop_.now())) {
        return;
    }
    const auto hold = quarantine_.find(history.request_, loop_.now());
    metrics_.setQuarantinedRequests(static_cast<double>(quarantine_.heldCount(loop_.now())));
    log(LogLevel::Info, "request-crashes-changed",
        { { "fingerprint", toString(history.request_) },
          { "source", source },
          { "server", history.crashes_.empty() ? "" : history.crashes_.back().server_.value() },
          { "crashes", quarantine_.crashCount(history.request_) },
          { "quarantined", hold.has_value() },
          { "trial_in_ms", hold ? toMilliseconds(hold->untilTrial_) : 0 } });
}

void Forwarder::deleteLater(ForwardedRequest *request)
{
    ended_.insert(request);
    deferred_.erase(std::remove(deferred_.begin(), deferred_.end(), request), deferred_.end());
    if (deletionTimer_ == nullptr) {
        deletionTimer_ = loop_.callAfter(Duration::zero(), [this] {
            deletionTimer_.reset();
            for (ForwardedRequest *ended : std::exchange(ended_, {})) {
                requests_.erase(ended);
            }
        });
    }
}

} // namespace qz
