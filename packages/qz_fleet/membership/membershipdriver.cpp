// Timers, message exchange and list fetches of a Membership.
#include "qz_fleet/membership/membershipdriver.h"

#include "qz_core/logging/logger.h"
#include "qz_fleet/messages/packing.h"

#include <string>

namespace qz {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(100);
constexpr Duration listFetchPeriod = std::chrono::seconds(2);

} // namespace

MembershipDriver::MembershipDriver(const Parts &parts)
    : parts_(parts)
{
}

MembershipDriver::~MembershipDriver()
{
    parts_.links_.setHandler(MessageKind::MembershipGossip, nullptr);
}

void MembershipDriver::start()
{
    parts_.links_.setHandler(
            MessageKind::MembershipGossip,
            [this](const InstanceId &from, std::string_view payload) { receive(from, payload); });
    tickTimer_ = parts_.timers_.callEvery(tickPeriod, [this] { tick(); });
    listTimer_ = parts_.timers_.callEvery(listFetchPeriod, [this] { fetchList(); });
    fetchList();
    publishChanges();
}

void MembershipDriver::stop()
{
    tickTimer_.reset();
    listTimer_.reset();
    sendAll(parts_.membership_.stop(parts_.clock_.now()));
}

void MembershipDriver::startLeaving()
{
    parts_.membership_.startLeaving(parts_.clock_.now());
    publishChanges();
}

void MembershipDriver::tick()
{
    sendAll(parts_.membership_.tick(parts_.clock_.now()));
    publishChanges();
}

void MembershipDriver::fetchList()
{
    if (isFetching_) {
        return;
    }
    isFetching_ = true;
    const std::weak_ptr<bool> alive = isAlive_;
    parts_.instanceList_.fetch([this, alive](const Result<InstanceListing> &listing) {
        if (alive.expired()) {
            return;
        }
        isFetching_ = false;
        if (listing.has_error()) {
            log(LogLevel::Warning, "instance list unavailable",
                { { "kind", toString(listing.error().kind_) },
                  { "cause", listing.error().message_ } });
            return;
        }
        parts_.membership_.applyListing(listing.value(), parts_.clock_.now());
        publishChanges();
        if (listingListener_) {
            listingListener_(listing.value());
        }
    });
}

void MembershipDriver::receive(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<GossipMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Error, "malformed heartbeat",
            { { "peer", from.value() }, { "cause", message.error().message_ } });
        return;
    }
    sendAll(parts_.membership_.receive(from, message.value(), parts_.clock_.now()));
    publishChanges();
}

void MembershipDriver::sendAll(const Membership::Outgoing &outgoing)
{
    for (const OutgoingGossip &gossip : outgoing) {
        const auto sent = parts_.links_.send(gossip.to_, MessageKind::MembershipGossip,
                                             packMessage(gossip.message_));
        if (sent.has_error()) {
            parts_.membership_.handleSendFailure(gossip.to_, parts_.clock_.now());
        }
    }
}

void MembershipDriver::publishChanges()
{
    const auto changes = parts_.membership_.takeChanges();
    if (changes.empty()) {
        return;
    }
    parts_.links_.setPeers(parts_.membership_.knownPeers());
    for (const MemberChange &change : changes) {
        log(LogLevel::Info, "member changed",
            { { "member", change.member_.id_.value() },
              { "change", toString(change.kind_) },
              { "state", toString(change.member_.state_) } });
        if (changeListener_) {
            changeListener_(change);
        }
    }
}

} // namespace qz
