// The links of this instance to the others, at most one for each peer.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/outbox.h"
#include "qz_fleet/links/peer.h"
#include "qz_fleet/links/peerlink.h"

#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

struct evconnlistener;

namespace qz {

/// Sends typed messages to other instances and hands out those received. A link is opened
/// on demand by either side, proves the fleet key in both directions and is then used by
/// both. Order is kept on a link, not across the loss of one.
///
/// A message that send() took either arrives, or the handler for lost links runs for its
/// peer. A bad frame closes its own link only.
/// @see PeerLink, Handshake, FrameDecoder
class PeerLinks
{
public:
    using Handler = std::function<void(const InstanceId &from, std::string_view payload)>;
    using LinkLostHandler = std::function<void(const InstanceId &peer)>;
    using UnsentHandler =
            std::function<void(const InstanceId &to, MessageKind kind, std::string_view payload)>;

    /// Collects what PeerLinks is made of. Only limits have defaults.
    class Builder;

    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Listens. Fails with InvalidSettings if the address cannot be listened on.
    Result<void> start();

    /// Closes all links at once, without calling a handler. @see unsentBytes
    void stop();

    /// Messages of @p kind go to @p handler; those without a handler are dropped and logged.
    /// Not for the kinds that links use among themselves.
    void setHandler(MessageKind kind, Handler handler);

    /// Called once whenever an established link is lost, or when messages were taken for a
    /// peer that could then not be reached.
    void setLinkLostHandler(LinkLostHandler handler) { linkLost_ = std::move(handler); }

    /// Called for each message that waited for a link and of which no byte was ever sent,
    /// before the handler for lost links runs.
    void setUnsentHandler(UnsentHandler handler) { unsent_ = std::move(handler); }

    /// Replaces the addresses to dial. Established links stay as they are.
    void setPeers(const std::vector<Peer> &peers);

    /// Takes a message for @p to. Fails with GateUnreachable, and sends nothing, if the peer
    /// is unknown or known to be down, or if too much waits for it; with FrameTooLong if
    /// the message is over the limit. Not for the kinds that links use among themselves.
    Result<void> send(const InstanceId &to, MessageKind kind, std::string payload);

    /// True if an established link to @p peer exists.
    bool isUp(const InstanceId &peer) const;

    /// Bytes that were taken by send() and not yet given to the operating system; a graceful
    /// shutdown waits for 0 before stop().
    std::size_t unsentBytes() const;

    /// Where this instance listens; the port is known after start().
    const Endpoint &listenEndpoint() const { return listenEndpoint_; }

    nlohmann::json dumpState() const;

private:
    /// Everything about one peer.
    struct PeerState
    {
        explicit PeerState(std::size_t maxOutputBytes)
            : outbox_(maxOutputBytes)
        {
        }

        std::optional<Endpoint> endpoint_; ///< Empty if the peer only dials us.
        PeerLink::Ptr link_;               ///< Established, or null.
        PeerLink::Ptr dialing_;            ///< Null whenever link_ is set.
        Outbox outbox_;                    ///< Empty whenever link_ is set.
        TimePoint waitingSince_;           ///< When the outbox was last empty.
        TimePoint dialAt_;                 ///< No dial before.
        Duration backoff_{ 0 };            ///< Zero after a success.
    };
    using Peers = std::map<InstanceId, PeerState>;

    struct Counters
    {
        std::uint64_t linksEstablished_ = 0;
        std::uint64_t linksLost_ = 0;
        std::uint64_t linksRefused_ = 0; ///< Closed before they were established.
        std::uint64_t messagesSent_ = 0;
        std::uint64_t messagesReceived_ = 0;
        std::uint64_t messagesDropped_ = 0;
    };

    explicit PeerLinks(const Builder &builder);

    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *address, int length,
                         void *self);

    static void onAcceptError(evconnlistener *listener, void *self);

    void acceptLink(int descriptor);
    PeerLink::Ptr makeLink(int descriptor, LinkRole role, std::optional<InstanceId> peer);
    void wireEvents(PeerLink &link);
    PeerState &stateOf(const InstanceId &peer);

    bool admit(PeerLink &link);
    bool isKeptAgainst(const PeerLink &link, const PeerState &state) const;
    void establish(PeerLink &link);
    void receive(PeerLink &link, const Frame &frame);
    void closed(PeerLink &link, const Error &error);
    std::optional<InstanceId> ownerOf(const PeerLink::Ptr &link) const;
    // Handlers may change peers_: the names below must not refer into it.
    void loseLink(const InstanceId &peer, PeerState &state);
    void dialFailed(const InstanceId &peer, PeerState &state, const Error &error);
    void giveUp(const InstanceId &peer, PeerState &state);

    void check();
    void dialWaiting();
    void dial(const InstanceId &peer, PeerState &state);
    void forgetUnused();

    EventLoop &loop_;
    LinkIdentity self_;
    Endpoint listenEndpoint_;
    std::string fleetKey_; ///< Never logged or dumped.
    LinkLimits limits_;
    evconnlistener *listener_ = nullptr;
    std::array<Handler, messageKindEnd> handlers_;
    LinkLostHandler linkLost_;
    UnsentHandler unsent_;
    Peers peers_;
    std::set<PeerLink::Ptr> handshakes_; ///< Accepted links that are not established.
    Counters counters_;
    Timers::HandlePtr checkTimer_;
    Timers::HandlePtr dialTimer_;
};

class PeerLinks::Builder
{
public:
    /// @p loop must outlive the links.
    Builder &setLoop(EventLoop &loop);
    Builder &setSelf(InstanceId id, std::string incarnation);
    /// Port 0 takes a free one.
    Builder &setListenEndpoint(Endpoint endpoint);
    Builder &setFleetKey(std::string fleetKey);
    Builder &setLimits(const LinkLimits &limits);

    std::unique_ptr<PeerLinks> build() const;

private:
    friend class PeerLinks;

    EventLoop *loop_ = nullptr;
    LinkIdentity self_;
    Endpoint listenEndpoint_;
    std::string fleetKey_;
    LinkLimits limits_;
};

} // namespace qz
