// Presence messages and reports about backend servers over peer links.
#include "qz_presence/exchange/presencedriver.h"

#include "qz_core/logging/logger.h"
#include "qz_fleet/messages/packing.h"

#include <cmath>
#include <set>
#include <utility>

namespace qz {

namespace {

/// Three periods fit into the silence limit after which an instance is no longer live.
constexpr Duration announcePeriod = std::chrono::milliseconds(400);

/// Announcements for each one that also goes to other failure domains.
constexpr int remoteAnnouncementEvery = 5;

/// Minimum time between two instance lists that an instance sends other than as a reply, whichever
/// instances they go to. This allows one list per announcement.
constexpr Duration minListInterval = announcePeriod;

} // namespace

PresenceDriver::PresenceDriver(EventLoop &loop, PeerLinks &links, InstanceDirectory &directory)
    : loop_(loop)
    , links_(links)
    , directory_(directory)
{
}

PresenceDriver::~PresenceDriver()
{
    links_.setHandler(MessageKind::Presence, nullptr);
    links_.setHandler(MessageKind::HealthReport, nullptr);
    links_.setHandler(MessageKind::ServerStatement, nullptr);
    links_.setHandler(MessageKind::CrashReport, nullptr);
    links_.setHandler(MessageKind::InstanceList, nullptr);
}

void PresenceDriver::start()
{
    links_.setHandler(MessageKind::Presence,
                      [this](const InstanceId &from, std::string_view payload) {
                          receivePresence(from, payload);
                      });
    links_.setHandler(MessageKind::HealthReport,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveHealthReport(from, payload);
                      });
    links_.setHandler(MessageKind::ServerStatement,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveServerStatement(from, payload);
                      });
    links_.setHandler(MessageKind::CrashReport,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveCrashReport(from, payload);
                      });
    links_.setHandler(MessageKind::InstanceList,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveList(from, payload);
                      });
    links_.setLinkLostHandler([this](const InstanceId &peer) { directory_.markLost(peer); });
    periodicTimer_ = loop_.callEvery(announcePeriod, [this] { announce(); });
}

void PresenceDriver::addInstances(const std::vector<InstanceRecord> &records)
{
    bool isChanged = false;
    for (const InstanceRecord &record : records) {
        isChanged = directory_.addOrUpdate(record, loop_.now()) || isChanged;
    }
    if (isChanged) {
        handleChange();
    }
}

void PresenceDriver::handleChange()
{
    updatePeers();
    announceTimer_ = loop_.callAfter(Duration::zero(), [this] { announce(); });
}

void PresenceDriver::setState(const InstanceState &state)
{
    if (state.isReady_ != state_.isReady_ || state.isStoreLost_ != state_.isStoreLost_) {
        state_ = state;
        directory_.setSelfState(state);
        announce();
    }
}

void PresenceDriver::announce()
{
    const std::string message =
            packMessage(PresenceMessage{ directory_.self(), state_.isReady_, state_.isStoreLost_,
                                         versionsProvider_ ? versionsProvider_() : TableVersions(),
                                         directory_.all().size() + 1, directory_.digest() });
    for (const InstanceRecord &peer : directory_.domainPeers()) {
        // A failed send needs no handling: the links reconnect by themselves.
        (void)links_.send(peer.id_, MessageKind::Presence, message);
    }
    if (++announcements_ % remoteAnnouncementEvery == 0) {
        announceToOtherDomains(message);
    }
}

void PresenceDriver::announceToOtherDomains(const std::string &message)
{
    const auto entries = directory_.entries(loop_.now());
    if (entries.empty() || entries.front().id_ != directory_.self().id_) {
        return;
    }
    std::set<FailureDomainId> domains;
    for (const InstanceRecord &remote : directory_.remoteEntries()) {
        if (domains.insert(remote.location_.failureDomain_).second) {
            (void)links_.send(remote.id_, MessageKind::Presence, message);
        }
    }
}

void PresenceDriver::sendHealthReport(const HealthReportMessage &report)
{
    auto receivers = directory_.entries(loop_.now());
    for (InstanceRecord &remote : directory_.remoteEntries()) {
        receivers.push_back(std::move(remote));
    }
    sendReport(receivers, MessageKind::HealthReport, packMessage(report));
}

void PresenceDriver::sendServerStatement(const ServerStatementMessage &statement)
{
    sendToAll(MessageKind::ServerStatement, packMessage(statement));
}

void PresenceDriver::sendCrashReport(const CrashReportMessage &report)
{
    sendToAll(MessageKind::CrashReport, packMessage(report));
}

void PresenceDriver::sendCrashReport(const InstanceId &receiver, const CrashReportMessage &report)
{
    // A lost report is repeated with the next one to all instances.
    (void)links_.send(receiver, MessageKind::CrashReport, packMessage(report));
}

void PresenceDriver::sendToAll(MessageKind kind, const std::string &message)
{
    auto receivers = directory_.domainPeers();
    for (InstanceRecord &remote : directory_.remoteEntries()) {
        receivers.push_back(std::move(remote));
    }
    sendReport(receivers, kind, message);
}

void PresenceDriver::passOn(const InstanceId &from, MessageKind kind, std::string_view payload)
{
    if (!directory_.isInSameDomain(from)) {
        sendReport(directory_.domainPeers(), kind, std::string(payload));
    }
}

void PresenceDriver::sendReport(const std::vector<InstanceRecord> &receivers, MessageKind kind,
                                const std::string &message)
{
    for (const InstanceRecord &receiver : receivers) {
        if (receiver.id_ != directory_.self().id_) {
            // If the report is lost, the receiver learns its content from its own requests.
            (void)links_.send(receiver.id_, kind, message);
        }
    }
}

void PresenceDriver::receivePresence(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<PresenceMessage>(payload);
    if (message.has_error() || message.value().sender_.id_ != from) {
        log(LogLevel::Warning, "presence-malformed", { { "from", from.value() } });
        return;
    }
    const PresenceMessage &presence = message.value();
    addInstances({ presence.sender_ });
    const bool isFirst = directory_.recordPresence(
            from, { presence.isReady_, presence.isStoreLost_ }, loop_.now());
    if (isFirst && instanceHeardHandler_) {
        instanceHeardHandler_(from);
    }
    compareKnownInstances(from, presence);
    if (versionsHandler_ && directory_.isInSameDomain(from)) {
        versionsHandler_(from, presence.versions_);
    }
}

void PresenceDriver::compareKnownInstances(const InstanceId &from, const PresenceMessage &presence)
{
    const auto known =
            std::make_pair(std::uint64_t(directory_.all().size() + 1), directory_.digest());
    // Only the instance that knows fewer instances sends its list first. If the counts are equal,
    // the lower digest decides.
    if (known < std::make_pair(presence.knownCount_, presence.knownDigest_)
        && loop_.now() - listSentAt_ >= minListInterval) {
        listSentAt_ = loop_.now();
        sendList(from, false);
    }
}

void PresenceDriver::sendList(const InstanceId &to, bool isReply)
{
    InstanceListMessage list{ directory_.all(), isReply };
    list.records_.push_back(directory_.self());
    // A lost list is sent again after a later presence message.
    (void)links_.send(to, MessageKind::InstanceList, packMessage(list));
}

void PresenceDriver::receiveList(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<InstanceListMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Warning, "instance-list-malformed", { { "from", from.value() } });
        return;
    }
    const std::size_t countBefore = directory_.all().size();
    for (const InstanceRecord &record : message.value().records_) {
        directory_.addIfUnknown(record, loop_.now());
    }
    const std::size_t newCount = directory_.all().size() - countBefore;
    if (newCount > 0) {
        log(LogLevel::Info, "instances-learned",
            { { "from", from.value() },
              { "new", newCount },
              { "known", countBefore + newCount + 1 } });
        handleChange();
    }
    if (!message.value().isReply_) {
        sendList(from, true);
    }
}

void PresenceDriver::receiveHealthReport(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<HealthReportMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Warning, "health-note-malformed", { { "from", from.value() } });
        return;
    }
    if (healthReportHandler_) {
        healthReportHandler_(message.value());
    }
}

void PresenceDriver::receiveServerStatement(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<ServerStatementMessage>(payload);
    if (message.has_error() || !std::isfinite(message.value().requestsPerSecond_)
        || message.value().requestsPerSecond_ < 0.0) {
        log(LogLevel::Warning, "server-statement-malformed", { { "from", from.value() } });
        return;
    }
    passOn(from, MessageKind::ServerStatement, payload);
    if (serverStatementHandler_) {
        serverStatementHandler_(message.value());
    }
}

void PresenceDriver::receiveCrashReport(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<CrashReportMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Warning, "crash-report-malformed", { { "from", from.value() } });
        return;
    }
    passOn(from, MessageKind::CrashReport, payload);
    if (crashReportHandler_) {
        crashReportHandler_(message.value());
    }
}

void PresenceDriver::updatePeers()
{
    std::vector<Peer> peers;
    for (const InstanceRecord &record : directory_.all()) {
        peers.push_back({ record.id_, record.peerEndpoint_ });
    }
    links_.setPeers(peers);
}

} // namespace qz
