// Presence and health notes over peer links.
#include "qz_presence/exchange/presencedriver.h"

#include "qz_core/logging/logger.h"
#include "qz_fleet/messages/packing.h"

#include <utility>

namespace qz {

namespace {

/// Three of these fit into the silence that ends an instance's presence.
constexpr Duration announcePeriod = std::chrono::milliseconds(400);

/// Between two lists of known instances that an instance sends of its own accord: one to each
/// announcement, whoever it comes from.
constexpr Duration listPause = announcePeriod;

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
                          receiveNote(from, payload);
                      });
    links_.setHandler(MessageKind::InstanceList,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveList(from, payload);
                      });
    links_.setLinkLostHandler([this](const InstanceId &peer) { directory_.markLost(peer); });
    timer_ = loop_.callEvery(announcePeriod, [this] { announce(); });
}

void PresenceDriver::addInstances(const std::vector<InstanceRecord> &records)
{
    bool isChanged = false;
    for (const InstanceRecord &record : records) {
        isChanged = directory_.addOrUpdate(record, loop_.now()) || isChanged;
    }
    if (isChanged) {
        takeChange();
    }
}

void PresenceDriver::takeChange()
{
    updatePeers();
    announceSoon_ = loop_.callAfter(Duration::zero(), [this] { announce(); });
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
                                         versions_ ? versions_() : TableVersions(),
                                         directory_.all().size() + 1, directory_.digest() });
    for (const InstanceRecord &neighbour : directory_.domainPeers()) {
        // A neighbour that is down is dialled again by the links; nothing else is lost.
        (void)links_.send(neighbour.id_, MessageKind::Presence, message);
    }
}

void PresenceDriver::sendHealthReport(const HealthReportMessage &note)
{
    const std::string message = packMessage(note);
    auto receivers = directory_.entries(loop_.now());
    for (InstanceRecord &remote : directory_.remoteEntries()) {
        receivers.push_back(std::move(remote));
    }
    for (const InstanceRecord &receiver : receivers) {
        if (receiver.id_ != directory_.self().id_) {
            // A receiver that misses a note finds out by its own requests.
            (void)links_.send(receiver.id_, MessageKind::HealthReport, message);
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
    directory_.recordPresence(from, { presence.isReady_, presence.isStoreLost_ }, loop_.now());
    compareKnown(from, presence);
    if (versionsHandler_) {
        versionsHandler_(from, presence.versions_);
    }
}

void PresenceDriver::compareKnown(const InstanceId &from, const PresenceMessage &presence)
{
    const auto ours =
            std::make_pair(std::uint64_t(directory_.all().size() + 1), directory_.digest());
    // The one that knows less begins, so that only one of the two does.
    if (ours < std::make_pair(presence.knownCount_, presence.knownDigest_)
        && loop_.now() - listSentAt_ >= listPause) {
        listSentAt_ = loop_.now();
        sendList(from, false);
    }
}

void PresenceDriver::sendList(const InstanceId &to, bool isAnswer)
{
    InstanceListMessage list{ directory_.all(), isAnswer };
    list.records_.push_back(directory_.self());
    // A list that is lost is sent again after a later announcement.
    (void)links_.send(to, MessageKind::InstanceList, packMessage(list));
}

void PresenceDriver::receiveList(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<InstanceListMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Warning, "instance-list-malformed", { { "from", from.value() } });
        return;
    }
    const std::size_t before = directory_.all().size();
    for (const InstanceRecord &record : message.value().records_) {
        directory_.addIfUnknown(record, loop_.now());
    }
    const std::size_t found = directory_.all().size() - before;
    if (found > 0) {
        log(LogLevel::Info, "instances-learned",
            { { "from", from.value() }, { "new", found }, { "known", before + found + 1 } });
        takeChange();
    }
    if (!message.value().isReply_) {
        sendList(from, true);
    }
}

void PresenceDriver::receiveNote(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<HealthReportMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Warning, "health-note-malformed", { { "from", from.value() } });
        return;
    }
    if (noteHandler_) {
        noteHandler_(message.value());
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
