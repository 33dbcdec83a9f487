// Presence and health notes over peer links.
#include "qz_presence/exchange/presencedriver.h"

#include "qz_core/logging/logger.h"
#include "qz_fleet/messages/packing.h"

#include <utility>

namespace qz {

namespace {

/// Three of these fit into the silence that ends an instance's presence.
constexpr Duration announcePeriod = std::chrono::milliseconds(400);

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
    links_.setHandler(MessageKind::HealthNote, nullptr);
}

void PresenceDriver::start()
{
    links_.setHandler(MessageKind::Presence, [this](const InstanceId &from,
                                                    std::string_view payload) {
        receivePresence(from, payload);
    });
    links_.setHandler(MessageKind::HealthNote, [this](const InstanceId &from,
                                                      std::string_view payload) {
        receiveNote(from, payload);
    });
    links_.setLinkLostHandler([this](const InstanceId &peer) { directory_.lose(peer); });
    timer_ = loop_.callEvery(announcePeriod, [this] { announce(); });
}

void PresenceDriver::addInstances(const std::vector<InstanceRecord> &records)
{
    bool isChanged = false;
    for (const InstanceRecord &record : records) {
        isChanged = directory_.put(record) || isChanged;
    }
    if (isChanged) {
        updatePeers();
    }
}

void PresenceDriver::setReady(bool isReady)
{
    if (isReady != isReady_) {
        isReady_ = isReady;
        directory_.setSelfReady(isReady);
        announce();
    }
}

void PresenceDriver::announce()
{
    const std::string message = packMessage(PresenceMessage{ directory_.self(), isReady_ });
    for (const InstanceRecord &neighbour : directory_.neighbours()) {
        // A neighbour that is down is dialled again by the links; nothing else is lost.
        (void)links_.send(neighbour.id_, MessageKind::Presence, message);
    }
}

void PresenceDriver::sendNote(const HealthNoteMessage &note)
{
    const std::string message = packMessage(note);
    auto receivers = directory_.entries(loop_.now());
    for (InstanceRecord &remote : directory_.remoteEntries()) {
        receivers.push_back(std::move(remote));
    }
    for (const InstanceRecord &receiver : receivers) {
        if (receiver.id_ != directory_.self().id_) {
            // A receiver that misses a note finds out by its own requests.
            (void)links_.send(receiver.id_, MessageKind::HealthNote, message);
        }
    }
}

void PresenceDriver::receivePresence(const InstanceId &from, std::string_view payload)
{
    auto message = unpackMessage<PresenceMessage>(payload);
    if (message.has_error() || message.value().sender_.id_ != from) {
        log(LogLevel::Warning, "presence-malformed", { { "from", from.value() } });
        return;
    }
    addInstances({ message.value().sender_ });
    directory_.hear(from, message.value().isReady_, loop_.now());
}

void PresenceDriver::receiveNote(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<HealthNoteMessage>(payload);
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
