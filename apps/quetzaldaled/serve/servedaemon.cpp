// Connects the parts of an instance and runs them.
#include "quetzaldaled/serve/servedaemon.h"

#include "platform/decoding/directoryanswer.h"
#include "platform/platformnames.h"
#include "quetzaldaled/serve/crashreports.h"
#include "qz_core/faults/faultpoint.h"
#include "qz_core/hashing/hmac.h"
#include "qz_core/hashing/rendezvous.h"
#include "qz_core/ids/randomid.h"
#include "qz_core/logging/logger.h"
#include "qz_core/loop/heldsignals.h"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <sstream>
#include <utility>

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickPeriod = 1s;
/// Requests that arrive right after a start are deferred until the configuration and the list
/// of backend servers are known, which takes a few tenths of a second. The deferral ends after
/// this time at the latest, since the request of a caller must be read within one second.
constexpr Duration startupDeferLimit = 900ms;
/// Period in which the instance checks whether callers are sent to it and whether it is a
/// reader of the store.
constexpr Duration roleUpdatePeriod = 200ms;
constexpr Duration stopCheckPeriod = 100ms;
constexpr Duration crashReportPeriod = 5s;
/// Requests in a crash report, which makes it a few kilobytes.
constexpr std::size_t maxReportedRequests = 64;
/// A connection that is quiet for this long is closed by a stop. The caller of a new one needs a
/// moment to send its request.
constexpr Duration stopQuietTime = 200ms;
/// Part of the stop limit after the end of the last requests, in which their answers are sent.
constexpr Duration stopMargin = 300ms;
/// Part of the stop limit that is left when the instance ends at the latest.
constexpr Duration exitMargin = 100ms;
/// Callers may use an address for this multiple of the time that the directory states.
constexpr int addressKeepFactor = 3;
/// Longest time from the sending of a signal until it is handled here.
constexpr Duration signalDelay = 200ms;
/// Extra time for callers that receive a new answer of the directory late.
constexpr Duration lateCallerTime = 500ms;
constexpr int exitCannotListen = 2;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// Returns the text by which instances of one fleet know each other's requests.
std::string makeFleetToken(const std::string &fleetKey)
{
    std::ostringstream token;
    token << std::hex << std::setfill('0');
    for (const char byte : hmacSha256(fleetKey, "quetzaldale request of an instance 1")) {
        token << std::setw(2) << static_cast<int>(static_cast<unsigned char>(byte));
    }
    return token.str();
}

HttpHead makeHead(int status, const std::string &type)
{
    HttpHead head;
    head.status_ = status;
    head.headers_.add("Content-Type", type);
    return head;
}

} // namespace

ServeDaemon::ServeDaemon(ServeSettings settings)
    : settings_(std::move(settings))
    , incarnation_(makeRandomId())
    , backends_(loop_)
    , forwarder_(loop_, makeForwardSettings(), backends_, metrics_)
    , directory_(makeSelf(),
                 [this] {
                     InstanceDirectory::Limits limits;
                     limits.instancesPerEntry_ = settings_.instancesPerEntry_;
                     return limits;
                 }())
    , links_(makeLinks())
    , presence_(loop_, *links_, directory_)
    , replicas_(loop_, *links_, directory_)
    , platform_(loop_, { settings_.storeAddress_, settings_.regions_, makeSelf() }, backends_,
                replicas_, makeAdapterHandlers())
    , callerServer_(loop_, {}, [this](const auto &exchange) { forwarder_.handle(exchange); })
    , readinessServer_(loop_, {}, [this](const auto &exchange) { handleControlRequest(exchange); })
    , directoryServer_(loop_, {}, [this](const auto &exchange) { handleControlRequest(exchange); })
    , metricsServer_(loop_, {}, [this](const auto &exchange) { handleControlRequest(exchange); })
    , serverRoles_(settings_.instanceId_)
{
    forwarder_.setHealthListener([this](const Backend &server, Duration ejectionTime) {
        presence_.sendHealthReport(
                { server.listed().id_, server.listed().incarnation_, ejectionTime });
    });
    forwarder_.setStatementListener([this](const Backend &server) {
        const auto rate = server.rateLimit().requestsPerSecond(loop_.now());
        presence_.sendServerStatement({ server.listed().id_, server.listed().incarnation_,
                                        rate.has_value(), rate.value_or(0.0), server.isLeaving() });
    });
    forwarder_.setCrashListener([this](const CrashHistory &history) {
        presence_.sendCrashReport(makeCrashReport({ history }, loop_.now()));
    });
    forwarder_.setTrialTurnProvider([this](const RequestFingerprint &request, std::size_t turn) {
        return isTrialTurn(request, turn);
    });
    presence_.setCrashReportHandler([this](const CrashReportMessage &report) {
        for (const CrashHistory &history : readCrashReport(report, loop_.now())) {
            forwarder_.applyReportedCrashes(history);
        }
    });
    presence_.setInstanceHeardHandler([this](const InstanceId &instance) {
        const auto histories = forwarder_.quarantine().latest(maxReportedRequests);
        if (!histories.empty()) {
            presence_.sendCrashReport(instance, makeCrashReport(histories, loop_.now()));
        }
    });
    forwarder_.setServerRoleProvider([this](const Backend &server) {
        return serverRoles_.find(server.listed().id_, server.listed().location_);
    });
    presence_.setHealthReportHandler(
            [this](const HealthReportMessage &report) { applyHealthReport(report); });
    presence_.setServerStatementHandler(
            [this](const ServerStatementMessage &statement) { applyServerStatement(statement); });
    presence_.setVersionsProvider([this] { return replicas_.versions(); });
    presence_.setVersionsHandler([this](const InstanceId &from, const TableVersions &versions) {
        replicas_.requestNewerTables(from, versions);
    });
}

int ServeDaemon::run()
{
    const auto listening = listen();
    if (listening.has_error()) {
        log(LogLevel::Error, "start-failed", { { "message", listening.error().message_ } });
        return exitCannotListen;
    }
    watchSignals();
    forwarder_.deferRequests(startupDeferLimit);
    presence_.start();
    replicas_.start();
    platform_.start();
    handles_.push_back(loop_.callEvery(roleUpdatePeriod, [this] { updateRoles(); }));
    handles_.push_back(loop_.callEvery(tickPeriod, [this] { tick(); }));
    handles_.push_back(loop_.callEvery(crashReportPeriod, [this] { repeatCrashReport(); }));
    log(LogLevel::Info, "started",
        { { "settings", settings_.toJson() }, { "incarnation", incarnation_ } });
    loop_.run();
    log(LogLevel::Info, "stopped",
        { { "running_requests", forwarder_.activeRequestCount() },
          { "caller_connections", callerServer_.connectionCount() },
          { "stop_ms", toMilliseconds(loop_.now() - stoppingSince_) } });
    return 0;
}

InstanceRecord ServeDaemon::makeSelf() const
{
    return { settings_.instanceId_, settings_.callerAddress_,  settings_.peerAddress_,
             settings_.location_,   settings_.processorShare_, settings_.linkCapacity_ };
}

std::unique_ptr<PeerLinks> ServeDaemon::makeLinks()
{
    PeerLinks::Builder builder;
    builder.setLoop(loop_);
    builder.setSelf(settings_.instanceId_, incarnation_);
    builder.setListenEndpoint(settings_.peerAddress_);
    builder.setFleetKey(settings_.fleetKey_);
    return builder.build();
}

ForwardSettings ServeDaemon::makeForwardSettings() const
{
    ForwardSettings forward;
    forward.location_ = settings_.location_;
    forward.headers_ = platform::makeForwardHeaders();
    forward.retryBudget_ = settings_.retryBudget_;
    forward.fleetToken_ = makeFleetToken(settings_.fleetKey_);
    forward.fingerprintSeed_ = rendezvousWeight("request fingerprints", settings_.fleetKey_);
    return forward;
}

platform::PlatformAdapter::Handlers ServeDaemon::makeAdapterHandlers()
{
    platform::PlatformAdapter::Handlers handlers;
    handlers.applyRoutes_ = [this](const auto &routes) { applyRoutes(routes); };
    handlers.addInstances_ = [this](const auto &records) {
        presence_.addInstances(records);
        return !directory_.domainPeers().empty();
    };
    handlers.backendsLoaded_ = [this] {
        areBackendsLoaded_ = true;
        updateState();
    };
    handlers.instanceReadEnded_ = [this] { updateRoles(); };
    handlers.storeStateChanged_ = [this] { updateState(); };
    handlers.callEnded_ = [this](const std::string &call, const std::string &outcome) {
        metrics_.countStoreCall(call, outcome);
    };
    return handlers;
}

Result<void> ServeDaemon::listen()
{
    BOOST_OUTCOME_TRY(links_->start());
    BOOST_OUTCOME_TRY(callerServer_.listen(settings_.callerAddress_));
    BOOST_OUTCOME_TRY(readinessServer_.listen(settings_.readyAddress_));
    BOOST_OUTCOME_TRY(directoryServer_.listen(settings_.directoryAddress_));
    return metricsServer_.listen(settings_.metricsAddress_);
}

void ServeDaemon::watchSignals()
{
    for (const int number : { SIGTERM, SIGINT }) {
        handles_.push_back(loop_.onSignal(number, [this] { startStopping(); }));
    }
    handles_.push_back(loop_.onSignal(SIGHUP, [] {
        // Settings come from flags and the environment, which do not change while the process runs.
        log(LogLevel::Info, "reload-ignored");
    }));
    handles_.push_back(
            loop_.onSignal(SIGUSR1, [this] { log(LogLevel::Info, "state-dump", dumpState()); }));
    std::signal(SIGPIPE, SIG_IGN);
    releaseSignals();
}

void ServeDaemon::applyRoutes(const std::shared_ptr<const RoutingTable> &routes)
{
    forwarder_.setRoutes(routes);
    metrics_.setConfigVersion(static_cast<double>(routes->version()));
    CallerLimits limits;
    limits.headBytes_ = routes->limits().headerBytes_;
    limits.bodyBytes_ = routes->limits().bodyBytes_;
    limits.headTimeout_ = routes->limits().headerTimeout_;
    limits.idleTimeout_ = routes->limits().idleTimeout_;
    callerServer_.setLimits(limits);
    updateState();
}

void ServeDaemon::applyHealthReport(const HealthReportMessage &report)
{
    const auto server = backends_.find(report.server_);
    if (server == nullptr || server->listed().incarnation_ != report.incarnation_) {
        return;
    }
    if (report.ejectionTime_ > Duration::zero()) {
        server->health().applyReportedEjection(report.ejectionTime_, loop_.now());
    } else {
        server->health().returnToService(loop_.now());
    }
}

void ServeDaemon::applyServerStatement(const ServerStatementMessage &statement)
{
    if (statement.isLeaving_) {
        forwarder_.applyReportedLeaving(statement.server_, statement.incarnation_);
    }
    const auto server = backends_.find(statement.server_);
    if (server == nullptr || server->listed().incarnation_ != statement.incarnation_) {
        return;
    }
    forwarder_.applyReportedLimit(*server,
                                  statement.isLimited_ ? std::optional(statement.requestsPerSecond_)
                                                       : std::nullopt);
}

void ServeDaemon::repeatCrashReport()
{
    const auto entries = directory_.entries(loop_.now());
    const auto histories = forwarder_.quarantine().latest(maxReportedRequests);
    if (!histories.empty() && !entries.empty() && entries.front().id_ == directory_.self().id_) {
        presence_.sendCrashReport(makeCrashReport(histories, loop_.now()));
    }
}

bool ServeDaemon::isTrialTurn(const RequestFingerprint &request, std::size_t turn) const
{
    std::vector<std::string> ids;
    for (const auto &entries : { directory_.entries(loop_.now()), directory_.remoteEntries() }) {
        for (const InstanceRecord &entry : entries) {
            ids.push_back(entry.id_.value());
        }
    }
    const auto order = rendezvousOrder(toString(request), std::move(ids));
    return !order.empty() && order[turn % order.size()] == settings_.instanceId_.value();
}

bool ServeDaemon::isReady() const
{
    return areBackendsLoaded_ && forwarder_.routes() != nullptr && !isStopping_;
}

void ServeDaemon::updateState()
{
    if (isReady()) {
        forwarder_.startDeferredRequests();
    }
    updatePresence();
}

void ServeDaemon::updatePresence()
{
    presence_.setState({ isReady() && !forwarder_.isCutOff(), platform_.isStoreUnavailable() });
}

void ServeDaemon::updatePeers()
{
    std::vector<RequestPeer> peers;
    for (const InstanceRecord &record : directory_.requestPeers(loop_.now())) {
        peers.push_back({ record.id_, record.callerEndpoint_, record.location_ });
    }
    forwarder_.setPeers(peers);
}

void ServeDaemon::updateRoles()
{
    std::vector<RoleCandidate> candidates;
    for (const InstanceRecord &entry : directory_.entries(loop_.now())) {
        candidates.push_back({ entry.id_, entry.location_ });
    }
    for (const InstanceRecord &entry : directory_.remoteEntries()) {
        candidates.push_back({ entry.id_, entry.location_ });
    }
    serverRoles_.setCandidates(std::move(candidates));
    updatePeers();
    updatePresence();
    updateRetrySlack();
    if (platform_.isInstanceReadEnded()) {
        platform_.setReaderIndex(directory_.readerIndex(loop_.now()));
    }
}

void ServeDaemon::tick()
{
    backends_.closeStaleConnections();
    metrics_.setBackendCount(static_cast<double>(backends_.size()));
    metrics_.setConnectionCount(static_cast<double>(callerServer_.connectionCount()));
}

void ServeDaemon::updateRetrySlack()
{
    const bool isEntry = directory_.isEntry(loop_.now());
    const std::size_t entries = directory_.entryCount();
    const double slackPart = isEntry ? 1.0 / static_cast<double>(entries) : 0.0;
    if (slackPart == slackPart_) {
        return;
    }
    slackPart_ = slackPart;
    forwarder_.setSlackPart(slackPart);
    log(LogLevel::Info, "retry-slack-changed",
        { { "part", slackPart },
          { "is_entry", isEntry },
          { "entries", entries },
          { "instances", directory_.all().size() + 1 } });
}

void ServeDaemon::startStopping()
{
    if (isStopping_) {
        return;
    }
    isStopping_ = true;
    stoppingSince_ = loop_.now();
    log(LogLevel::Info, "stopping",
        { { "running_requests", forwarder_.activeRequestCount() },
          { "caller_connections", callerServer_.connectionCount() } });
    updateState();
    updateRetrySlack();
    if (isFaultInjected(FaultPoint::DrainSkipped)) {
        loop_.stop();
        return;
    }
    forwarder_.startStopping(stoppingSince_ + settings_.addressKeepTime_ * addressKeepFactor
                                     - signalDelay,
                             stoppingSince_ + settings_.stopLimit_ - stopMargin);
    callerServer_.startClosing();
    handles_.push_back(loop_.callEvery(stopCheckPeriod, [this] { checkStopped(); }));
    handles_.push_back(
            loop_.callAfter(settings_.stopLimit_ - exitMargin, [this] { loop_.stop(); }));
}

void ServeDaemon::checkStopped()
{
    const Duration elapsed = loop_.now() - stoppingSince_;
    if (elapsed < settings_.addressKeepTime_ * addressKeepFactor) {
        return;
    }
    callerServer_.closeIdleConnections(stopQuietTime);
    if (elapsed >= settings_.addressKeepTime_ * addressKeepFactor + lateCallerTime) {
        // New callers must use another instance: a request accepted now might not end in time.
        callerServer_.stopListening();
    }
    if (callerServer_.connectionCount() == 0 && forwarder_.activeRequestCount() == 0) {
        loop_.stop();
    }
}

void ServeDaemon::handleControlRequest(const std::shared_ptr<CallerExchange> &exchange)
{
    const std::string_view path = pathOf(exchange->head().target_);
    if (path == platform::readyPath) {
        exchange->reply(makeHead(isReady() ? statusOk : statusUnavailable, "text/plain"),
                        isReady() ? "ready\n" : "not ready\n");
    } else if (path == platform::directoryPath) {
        answerDirectory(exchange);
    } else if (path == "/metrics") {
        exchange->reply(makeHead(statusOk, "text/plain; version=0.0.4"), metrics_.format());
    } else {
        exchange->reply(makeHead(statusNotFound, "text/plain"), "not found\n");
    }
}

void ServeDaemon::answerDirectory(const std::shared_ptr<CallerExchange> &exchange)
{
    std::vector<Endpoint> addresses;
    for (const InstanceRecord &entry : directory_.entries(loop_.now())) {
        addresses.push_back(entry.callerEndpoint_);
    }
    if (addresses.empty() && isReady()) {
        // All instances are cut off from the servers; one address is as good as another.
        addresses.push_back(settings_.callerAddress_);
    }
    if (addresses.empty()) {
        exchange->reply(makeHead(statusUnavailable, "text/plain"), "no instance is ready\n");
        return;
    }
    exchange->reply(makeHead(statusOk, "application/json"),
                    platform::encodeDirectoryAnswer(addresses, settings_.addressKeepTime_));
}

nlohmann::json ServeDaemon::dumpState() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const auto &[id, server] : backends_.all()) {
        servers.push_back(
                { { "server", id.value() },
                  { "service", server->listed().service_.value() },
                  { "draining", server->listed().isDraining_ },
                  { "leaving", server->isLeaving() },
                  { "in_flight", server->inFlight() },
                  { "idle_connections", server->idleConnectionCount() },
                  { "good", server->health().state(loop_.now()) == ServerHealth::State::Good } });
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const InstanceRecord &entry : directory_.entries(loop_.now())) {
        entries.push_back(entry.id_.value());
    }
    return { { "instance", settings_.instanceId_.value() },
             { "incarnation", incarnation_ },
             { "config_version",
               forwarder_.routes() == nullptr ? 0 : forwarder_.routes()->version() },
             { "stopping", isStopping_ },
             { "servers", std::move(servers) },
             { "entries", std::move(entries) },
             { "instances", directory_.all().size() + 1 },
             { "links", links_->dumpState() },
             { "caller_connections", callerServer_.connectionCount() },
             { "running_requests", forwarder_.activeRequestCount() } };
}

} // namespace qz
