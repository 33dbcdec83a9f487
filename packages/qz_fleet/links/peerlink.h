// One TCP link to one other instance.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/links/framedecoder.h"
#include "qz_fleet/links/handshake.h"
#include "qz_fleet/links/linklimits.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace qz {

/// Checks a link in both directions: a request is answered with the same sequence number.
struct HeartbeatMessage
{
    std::uint64_t sequence_ = 0;
    bool isAnswer_ = false;

    MSGPACK_DEFINE(sequence_, isAnswer_)
};

/// A link from its first byte to its last: handshake, frames, heartbeats. Any error closes
/// this link only. Which link to use for a peer is decided by PeerLinks.
/// @see PeerLinks, Handshake, FrameDecoder
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using Ptr = std::shared_ptr<PeerLink>;

    /// Calls to the owner. Each may close the link.
    struct Events
    {
        /// Asked once the peer has proved the key and before this side has proved it to a
        /// dialer: false closes the link without it ever being established.
        std::function<bool(PeerLink &)> admit_;
        std::function<void(PeerLink &)> established_;
        std::function<void(PeerLink &, Frame)> received_;
        /// Runs once, unless the owner closed the link itself.
        std::function<void(PeerLink &, const Error &)> closed_;
    };

    /// Takes over @p socket. @p clock and @p limits must outlive the link.
    PeerLink(const Clock &clock, const LinkLimits &limits, bufferevent *socket,
             Handshake handshake);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    void setEvents(Events events) { events_ = std::move(events); }

    /// Starts an accepted link.
    void accept();

    /// Starts a link of our own to @p endpoint.
    void dial(const Endpoint &endpoint);

    /// Queues a message. Only for an established link.
    void send(MessageKind kind, std::string_view payload);

    /// Sends a heartbeat that is due, and closes the link if a limit has passed.
    void checkTimes();

    /// Closes without an event. Nothing is received afterwards.
    void close();

    LinkRole role() const { return role_; }
    bool isConnected() const { return isConnected_; }
    bool isEstablished() const { return isEstablished_ && socket_ != nullptr; }
    TimePoint establishedAt() const { return establishedAt_; }
    /// The peer as claimed in its hello; proved if the link is established.
    const LinkIdentity &peer() const { return handshake_.peer(); }
    std::size_t outputBytes() const;

private:
    static void onReadable(bufferevent *socket, void *self);
    static void onEvent(bufferevent *socket, short events, void *self);

    void start();
    void takeInput();
    void takeFrames();
    void takeFrame(Frame frame);
    void takeHandshakeFrame(const Frame &frame);
    void takeHeartbeat(const Frame &frame);
    void establish();
    void write(std::string_view bytes);
    void fail(const Error &error);
    void checkHandshake(TimePoint now);
    void checkHeartbeat(TimePoint now);
    bool isHeartbeatDue(TimePoint now) const;
    void prepareSocket();

    const Clock &clock_;
    const LinkLimits &limits_;
    bufferevent *socket_; ///< Null once closed.
    LinkRole role_;
    Handshake handshake_;
    FrameDecoder decoder_;
    Events events_;
    bool isConnected_ = false;
    bool isEstablished_ = false;            ///< Never falls back; only then are messages passed on.
    std::optional<TimePoint> unheardSince_; ///< The first message sent since the last received.
    bool hasSentSinceAnswer_ = false;
    bool awaitsAnswer_ = false; ///< A heartbeat of ours is on its way.
    std::uint64_t heartbeatSequence_ = 0;
    TimePoint startedAt_;
    TimePoint establishedAt_;
    TimePoint receivedAt_;
    TimePoint heartbeatAt_; ///< When the last heartbeat was sent or answered.
};

} // namespace qz
