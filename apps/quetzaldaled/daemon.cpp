// Builds, connects and runs the parts of an instance with its own rules.
#include "quetzaldaled/daemon.h"

#include "qz_core/ids/randomid.h"
#include "qz_core/logging/logger.h"
#include "qz_core/loop/heldsignals.h"

#include <csignal>
#include <utility>

namespace qz {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(50);
constexpr std::size_t journalSize = 2000; ///< Requests that the journal keeps.
constexpr int exitCannotListen = 2;

HttpServerLimits makeServerLimits(const DaemonSettings &settings)
{
    HttpServerLimits limits;
    limits.bodyBytes_ = settings.bodyLimitBytes_;
    return limits;
}

DrainTimes makeDrainTimes(const DaemonSettings &settings)
{
    return { settings.gateDrainGrace_, settings.drainGrace_, settings.drainLimit_ };
}

} // namespace

Daemon::Daemon(DaemonSettings settings)
    : settings_(std::move(settings))
    , incarnation_(makeRandomId())
    , random_(std::random_device{}())
    , platform_(loop_, settings_.platformAddress_, settings_.platformTimeout_)
    , fleetState_(makeSelf())
    , links_(makeLinks())
    , membership_(makeMembership())
    , membershipDriver_({ *membership_, *links_, platform_, loop_, loop_ })
    , rules_({ loop_, platform_, platform_, *links_, fleetState_ }, incarnation_,
             settings_.rulesLimit_)
    , claims_(makeClaims())
    , gates_(loop_, fleetState_.directory())
    , dispatcher_(loop_, settings_.instanceId_, *links_, gates_)
    , retries_(RetryTokenLimits{}, loop_.now())
    , journal_(journalSize)
    , entry_({ loop_, fleetState_, dispatcher_, *claims_, loadReports_, retries_, chooser_, random_,
               journal_, metrics_ },
             settings_.addressKeepTime_)
    , operators_(settings_.operatorToken_, fleetState_, journal_, metrics_)
    , server_(loop_, makeServerLimits(settings_),
              [this](const std::shared_ptr<HttpExchange> &exchange) {
                  if (OperatorService::isOperatorPath(exchange->request().target_)) {
                      operators_.handle(exchange);
                  } else {
                      entry_.handle(exchange);
                  }
              })
    , drain_(loop_, makeDrainTimes(settings_), makeDrainSteps())
{
    operators_.setDumpProvider([this] { return dumpState(); });
    operators_.setRulesHandler([this](const auto &exchange) { rules_.handleRules(exchange); });
    operators_.setStatusHandler([this](const auto &exchange) { rules_.handleStatus(exchange); });
}

int Daemon::run()
{
    const auto listening = listen();
    if (listening.has_error()) {
        log(LogLevel::Error, "start-failed", { { "message", listening.error().message_ } });
        return exitCannotListen;
    }
    watchMembership();
    watchSignals();
    handles_.push_back(loop_.callEvery(tickPeriod, [this] { tick(); }));
    log(LogLevel::Info, "started",
        { { "settings", settings_.toJson() }, { "incarnation", incarnation_ } });
    loop_.run();
    log(LogLevel::Info, "stopped", { { "exit_status", exitStatus_ } });
    return exitStatus_;
}

Member Daemon::makeSelf() const
{
    Member self;
    self.id_ = settings_.instanceId_;
    self.incarnation_ = incarnation_;
    self.peerEndpoint_ = settings_.peerAddress_;
    self.callerEndpoint_ = settings_.callerAddress_;
    self.location_ = settings_.location_;
    return self;
}

std::unique_ptr<PeerLinks> Daemon::makeLinks()
{
    PeerLinks::Builder builder;
    builder.setLoop(loop_);
    builder.setSelf(settings_.instanceId_, incarnation_);
    builder.setListenEndpoint(settings_.peerAddress_);
    builder.setFleetKey(settings_.fleetKey_);
    return builder.build();
}

std::unique_ptr<Membership> Daemon::makeMembership()
{
    Membership::Builder builder;
    builder.setSelf(makeSelf());
    builder.setRandom(random_);
    builder.setStart(loop_.now());
    return builder.build();
}

std::unique_ptr<ClaimClient> Daemon::makeClaims()
{
    ClaimClient::Builder builder;
    builder.setTable(platform_);
    builder.setTimers(loop_);
    builder.setClock(loop_);
    builder.setSelf(settings_.instanceId_);
    builder.setIncarnation(incarnation_);
    return builder.build();
}

Result<void> Daemon::listen()
{
    BOOST_OUTCOME_TRY(links_->start());
    return server_.listen(settings_.callerAddress_);
}

void Daemon::watchMembership()
{
    membershipDriver_.setChangeListener(
            [this](const MemberChange & /*change*/) { applyMembers(); });
    membershipDriver_.setListingListener(
            [this](const InstanceListing &listing) { applyListing(listing); });
    dispatcher_.setLinkLostListener(
            [this](const InstanceId & /*peer*/) { membershipDriver_.handleLinkLost(); });
    membershipDriver_.start();
}

void Daemon::watchSignals()
{
    for (const int number : { SIGTERM, SIGINT }) {
        handles_.push_back(loop_.onSignal(number, [this] { drain_.start(); }));
    }
    handles_.push_back(
            loop_.onSignal(SIGUSR1, [this] { log(LogLevel::Info, "state-dump", dumpState()); }));
    handles_.push_back(loop_.onSignal(SIGHUP, [] {
        // Settings come from flags and the environment, which do not change while the process runs.
        log(LogLevel::Info, "reload-ignored");
    }));
    std::signal(SIGPIPE, SIG_IGN);
    releaseSignals();
}

void Daemon::applyMembers()
{
    fleetState_.setMembers(membership_->members());
    rules_.setMembers(membership_->members());
    metrics_.setMemberCount(membership_->members().size());
}

void Daemon::applyListing(const InstanceListing &listing)
{
    fleetState_.setListing(listing.backendServers_);
    rules_.setListed(listing);
    gates_.applyDirectory();
    if (membership_->isListedLeaving()) {
        drain_.start();
    }
}

void Daemon::applyRules()
{
    appliedRules_ = fleetState_.rulesVersion();
    gates_.setRanks(fleetState_.rules()->ranks());
    gates_.applyDirectory();
    membershipDriver_.setRulesVersion(appliedRules_);
    metrics_.setRulesVersion(appliedRules_);
}

void Daemon::tick()
{
    if (fleetState_.rulesVersion() != appliedRules_) {
        applyRules();
    }
    gates_.tick();
}

DrainSteps Daemon::makeDrainSteps()
{
    DrainSteps steps;
    steps.leave_ = [this] {
        fleetState_.setLeaving();
        membershipDriver_.startLeaving();
        server_.startClosing();
    };
    steps.closeGates_ = [this] { gates_.close(); };
    steps.closeEntry_ = [this] { server_.stopListening(); };
    steps.inFlight_ = [this] { return inFlight(); };
    steps.end_ = [this](int exitStatus) {
        exitStatus_ = exitStatus;
        membershipDriver_.stop();
        // The loop runs for one more period so that the last messages are sent.
        handles_.push_back(loop_.callAfter(tickPeriod, [this] {
            server_.closeIdleConnections();
            links_->stop();
            loop_.stop();
        }));
    };
    return steps;
}

nlohmann::json Daemon::inFlight() const
{
    nlohmann::json counts = nlohmann::json::object();
    if (server_.openExchangeCount() > 0) {
        counts["caller_requests"] = server_.openExchangeCount();
    }
    if (gates_.requestCount() > 0) {
        counts["gate_requests"] = gates_.requestCount();
    }
    if (dispatcher_.pendingCount() > 0) {
        counts["dispatched_requests"] = dispatcher_.pendingCount();
    }
    if (links_->unsentBytes() > 0) {
        counts["unsent_bytes"] = links_->unsentBytes();
    }
    return counts;
}

nlohmann::json Daemon::dumpState() const
{
    return { { "instance", settings_.instanceId_.value() },
             { "incarnation", incarnation_ },
             { "settings", settings_.toJson() },
             { "leaving", fleetState_.isLeaving() },
             { "rules", rules_.dumpState() },
             { "membership", membership_->dumpState(loop_.now()) },
             { "links", links_->dumpState() },
             { "gates", gates_.dumpState() },
             { "caller_connections", server_.connectionCount() },
             { "in_flight", inFlight() } };
}

} // namespace qz
