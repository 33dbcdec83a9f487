// State that the requests of an instance share.
#include "qz_forward/requests/forwarder.h"

#include "qz_core/logging/logger.h"
#include "qz_forward/requests/forwardedrequest.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace qz {

namespace {

/// Number of requests that can be deferred after a start; each takes a few kilobytes.
constexpr std::size_t maxDeferredRequests = 500;

constexpr int statusMisdirectedRequest = 421;
/// Value of the field by which a server says that it leaves.
constexpr std::string_view leavingValue = "1";

/// Period of the checks whether servers accept connections again, and the number of servers of a
/// lost path that are checked.
constexpr Duration pathCheckPeriod = std::chrono::milliseconds(250);
constexpr std::size_t pathCheckServers = 4;
/// Time for which an instance gets no requests after it could not reach the servers either.
constexpr Duration unableTime = std::chrono::seconds(1);
/// A health report is dropped if no other server answers for this time.
constexpr Duration heldReportTime = std::chrono::seconds(1);
/// Of another instance; servers are not the bottleneck of the way through it.
constexpr int peerSlots = 32;
/// The service under which instances are counted in place of servers.
constexpr const char *peerService = "quetzaldale-instances";

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
        recordPathFailure(server, AttemptResult::Silent, false, false);
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
                              const RequestRoute &route, bool isNewConnection)
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
    recordPathFailure(server, result, end.isEarly_, isNewConnection);
    if (server.health().record(end, now)) {
        logEjection(server, toString(result));
        if (isServerFault(result) && !server.listed().isInstance_) {
            heldReports_.push_back({ server.listed().id_, server.listed().incarnation_, now });
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

void Forwarder::recordPathFailure(Backend &server, AttemptResult result, bool isEarly,
                                  bool isNewConnection)
{
    if (server.listed().isInstance_ || !server.isOpen()) {
        return;
    }
    const ServiceId &service = server.listed().service_;
    const std::size_t count = backends_.serversOf(service).size();
    ServicePath &path = paths_[service];
    const bool wasLost = path.isLost();
    if (result == AttemptResult::ConnectFailed) {
        path.recordConnectFailure(server.listed().id_, count, loop_.now());
    } else if (result == AttemptResult::Silent || (result == AttemptResult::Cut && isEarly)) {
        path.recordNoAnswer(server.listed().id_, count, isNewConnection, loop_.now());
    }
    handlePathChange(service, wasLost);
}

void Forwarder::recordConnected(const Backend &server)
{
    if (server.listed().isInstance_) {
        return;
    }
    ServicePath &path = paths_[server.listed().service_];
    const bool wasLost = path.isLost();
    path.recordConnected(loop_.now());
    handlePathChange(server.listed().service_, wasLost);
}

void Forwarder::recordAnswerHead(const Backend &server, bool isNewConnection)
{
    if (server.listed().isInstance_) {
        lastPeerAnswer_ = loop_.now();
        return;
    }
    ServicePath &path = paths_[server.listed().service_];
    const bool wasLost = path.isLost();
    path.recordAnswer(isNewConnection, loop_.now());
    handlePathChange(server.listed().service_, wasLost);
    sendHeldReports(server);
}

void Forwarder::handlePathChange(const ServiceId &service, bool wasLost)
{
    const ServicePath &path = paths_[service];
    if (path.isLost() == wasLost) {
        return;
    }
    const TimePoint now = loop_.now();
    log(LogLevel::Info, wasLost ? "service-path-regained" : "service-path-lost",
        { { "service", service.value() },
          { "servers", backends_.serversOf(service).size() },
          { "lost_ms", wasLost ? toMilliseconds(now - path.lostSince()) : 0 } });
    metrics_.setLostPaths(
            static_cast<double>(std::count_if(paths_.begin(), paths_.end(), [](const auto &entry) {
                return entry.second.isLost();
            })));
    if (!wasLost) {
        if (pathCheckTimer_ == nullptr) {
            pathCheckTimer_ = loop_.callEvery(pathCheckPeriod, [this] { checkLostPaths(); });
        }
        return;
    }
    checkEjectedServers(service, path.lostSince() - heldReportTime);
}

void Forwarder::checkEjectedServers(const ServiceId &service, TimePoint since)
{
    for (const auto &server : backends_.serversOf(service)) {
        const ServerHealth &health = server->health();
        if (health.state(loop_.now()) != ServerHealth::State::Good
            && health.ejectedSince() >= since) {
            pathChecks_[service].push_back(std::make_unique<ConnectCheck>(
                    loop_, server->listed().endpoint_, pathCheckPeriod,
                    [this, server](ConnectResult result) {
                        if (result == ConnectResult::Accepted) {
                            server->health().returnToService(loop_.now());
                        }
                    }));
        }
    }
}

void Forwarder::checkLostPaths()
{
    bool isAnyLost = false;
    for (const auto &[service, path] : paths_) {
        auto &checks = pathChecks_[service];
        checks.clear();
        isAnyLost = isAnyLost || path.isLost();
        if (!path.isOpeningLost()) {
            continue; // Only a request can show whether servers answer.
        }
        std::vector<std::shared_ptr<Backend>> servers;
        for (const auto &server : backends_.serversOf(service)) {
            if (server->isOpen()) {
                servers.push_back(server);
            }
        }
        std::shuffle(servers.begin(), servers.end(), random_);
        servers.resize(std::min(servers.size(), pathCheckServers));
        for (const auto &server : servers) {
            checks.push_back(std::make_unique<ConnectCheck>(
                    loop_, server->listed().endpoint_, pathCheckPeriod,
                    [this, server](ConnectResult result) {
                        if (result == ConnectResult::Accepted) {
                            recordConnected(*server);
                        }
                    }));
        }
    }
    if (!isAnyLost) {
        pathCheckTimer_.reset();
    }
}

bool Forwarder::isPathLost(const ServiceId &service) const
{
    const auto found = paths_.find(service);
    return found != paths_.end() && found->second.isLost();
}

bool Forwarder::isCutOff() const
{
    std::optional<TimePoint> lostSince;
    TimePoint reachedAt{};
    for (const auto &[service, path] : paths_) {
        reachedAt = std::max(reachedAt, path.reachedAt());
        if (path.isLost()) {
            lostSince = std::min(lostSince.value_or(path.lostSince()), path.lostSince());
        }
    }
    return lostSince && reachedAt <= *lostSince && lastPeerAnswer_ > *lostSince;
}

void Forwarder::setPeers(const std::vector<RequestPeer> &peers)
{
    std::map<InstanceId, std::shared_ptr<Backend>> next;
    for (const RequestPeer &peer : peers) {
        const auto known = peers_.find(peer.id_);
        if (known != peers_.end() && known->second->listed().endpoint_ == peer.callerEndpoint_) {
            next.insert(*known);
            continue;
        }
        ListedBackend listed;
        listed.id_ = BackendServerId(peer.id_.value());
        listed.service_ = ServiceId(peerService);
        listed.endpoint_ = peer.callerEndpoint_;
        listed.location_ = peer.location_;
        listed.slots_ = peerSlots;
        listed.isInstance_ = true;
        next[peer.id_] = std::make_shared<Backend>(loop_, std::move(listed));
    }
    peers_ = std::move(next);
}

void Forwarder::recordUnable(const ServiceId &service, const Backend &peer)
{
    unableUntil_[{ service, peer.listed().id_ }] = loop_.now() + unableTime;
}

std::vector<std::shared_ptr<Backend>> Forwarder::openServers(const ServiceId &service,
                                                             bool isRepeatable)
{
    std::vector<std::shared_ptr<Backend>> found;
    for (const auto &server : backends_.serversOf(service)) {
        if (server->isOpen()) {
            ejectIfOverdue(*server, isRepeatable);
            server->rateLimit().setRole(serverRole(*server), loop_.now());
            found.push_back(server);
        }
    }
    // A random order, so that not all instances prefer the same servers.
    std::shuffle(found.begin(), found.end(), random_);
    return found;
}

std::vector<std::shared_ptr<Backend>> Forwarder::ablePeers(const ServiceId &service,
                                                           bool isRepeatable)
{
    const TimePoint now = loop_.now();
    std::vector<std::shared_ptr<Backend>> found;
    for (const auto &[id, peer] : peers_) {
        const auto unable = unableUntil_.find({ service, peer->listed().id_ });
        if (unable == unableUntil_.end() || now >= unable->second) {
            ejectIfOverdue(*peer, isRepeatable);
            found.push_back(peer);
        }
    }
    std::shuffle(found.begin(), found.end(), random_);
    return found;
}

std::vector<std::shared_ptr<Backend>> Forwarder::candidates(const ServiceId &service,
                                                            bool isRepeatable, bool isFirst)
{
    auto servers = openServers(service, isRepeatable);
    if (!isPathLost(service)
        || (isFirst && paths_[service].tryAcquireTrial(isRepeatable, loop_.now()))) {
        return servers;
    }
    auto peers = ablePeers(service, isRepeatable);
    if (!peers.empty()) {
        return peers;
    }
    if (paths_[service].isOpeningLost()) {
        // No instance reaches the servers: only those that were not tried lately are worth it.
        servers.erase(std::remove_if(servers.begin(), servers.end(),
                                     [now = loop_.now()](const auto &server) {
                                         return server->health().state(now)
                                                 == ServerHealth::State::Ejected;
                                     }),
                      servers.end());
    }
    return servers;
}

std::vector<std::shared_ptr<Backend>> Forwarder::candidatesForPeer(const ServiceId &service,
                                                                   bool isRepeatable)
{
    auto servers = openServers(service, isRepeatable);
    if (isPathLost(service)) {
        servers.clear(); // The sender knows instances that may reach them.
    }
    return servers;
}

void Forwarder::sendHeldReports(const Backend &reached)
{
    const TimePoint now = loop_.now();
    std::vector<HeldReport> kept;
    for (const HeldReport &report : std::exchange(heldReports_, {})) {
        if (now - report.heldAt_ > heldReportTime) {
            continue;
        }
        const auto server = backends_.find(report.server_);
        if (server.get() == &reached) {
            kept.push_back(report); // Says nothing about the path to other servers.
        } else if (server != nullptr && server->listed().incarnation_ == report.incarnation_
                   && server->health().ejectedUntil() > now && healthListener_) {
            healthListener_(*server, server->health().ejectedUntil() - now);
        }
    }
    heldReports_.insert(heldReports_.end(), kept.begin(), kept.end());
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
