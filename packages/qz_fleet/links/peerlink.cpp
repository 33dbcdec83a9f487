// A peer link on a libevent bufferevent.
#include "qz_fleet/links/peerlink.h"

#include "qz_fleet/messages/packing.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cassert>
#include <utility>

namespace qz {

namespace {

/// Before the peer has proved the key, it can make us hold no more than this.
constexpr std::size_t maxHandshakeFrameBytes = 1024;
constexpr std::size_t readBytes = std::size_t(64) * 1024;

sockaddr_in toAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port_);
    inet_pton(AF_INET, endpoint.host_.c_str(), &address.sin_addr);
    return address;
}

std::string describeSocketError()
{
    return evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
}

} // namespace

PeerLink::PeerLink(const Clock &clock, const LinkLimits &limits, bufferevent *socket,
                   Handshake handshake)
    : clock_(clock)
    , limits_(limits)
    , socket_(socket)
    , role_(handshake.role())
    , handshake_(std::move(handshake))
    , decoder_(maxHandshakeFrameBytes)
    , startedAt_(clock.now())
    , establishedAt_(startedAt_)
    , heartbeatAt_(startedAt_)
{
    assert(socket_ != nullptr);
}

PeerLink::~PeerLink()
{
    close();
}

void PeerLink::accept()
{
    isConnected_ = true;
    prepareSocket();
    start();
}

void PeerLink::dial(const Endpoint &endpoint)
{
    start();
    const sockaddr_in address = toAddress(endpoint);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    const Ptr self = shared_from_this(); // A failed connect may report at once.
    if (bufferevent_socket_connect(socket_, generic, sizeof(address)) != 0) {
        fail(Error{ ErrorKind::GateUnreachable, describeSocketError() });
    }
}

void PeerLink::send(MessageKind kind, std::string_view payload)
{
    assert(isEstablished());
    hasSentSinceAnswer_ = true;
    if (!unheardSince_) {
        unheardSince_ = clock_.now();
    }
    write(encodeFrame(kind, payload));
}

void PeerLink::checkTimes()
{
    const TimePoint now = clock_.now();
    if (socket_ == nullptr) {
        return;
    }
    if (isEstablished_) {
        checkHeartbeat(now);
    } else {
        checkHandshake(now);
    }
}

void PeerLink::close()
{
    if (socket_ != nullptr) {
        bufferevent_free(std::exchange(socket_, nullptr));
    }
}

std::size_t PeerLink::outputBytes() const
{
    return socket_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(socket_));
}

void PeerLink::onReadable(bufferevent * /*socket*/, void *self)
{
    const Ptr link = static_cast<PeerLink *>(self)->shared_from_this();
    link->takeInput();
}

void PeerLink::onEvent(bufferevent * /*socket*/, short events, void *self)
{
    const Ptr link = static_cast<PeerLink *>(self)->shared_from_this();
    const auto flags = static_cast<unsigned>(events);
    if ((flags & BEV_EVENT_CONNECTED) != 0) {
        link->isConnected_ = true;
        link->prepareSocket();
        link->write(link->handshake_.open());
        return;
    }
    if ((flags & BEV_EVENT_EOF) != 0) {
        const bool isTruncated = link->decoder_.pendingBytes() != 0;
        const auto kind = isTruncated ? ErrorKind::FrameMalformed : ErrorKind::PeerLinkLost;
        link->fail(Error{ kind, isTruncated ? "the last frame was truncated" : "closed by peer" });
        return;
    }
    link->fail(Error{ ErrorKind::PeerLinkLost, describeSocketError() });
}

void PeerLink::start()
{
    bufferevent_setcb(socket_, &PeerLink::onReadable, nullptr, &PeerLink::onEvent, this);
    bufferevent_setwatermark(socket_, EV_READ, 0, readBytes);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
}

void PeerLink::takeInput()
{
    std::array<char, readBytes> bytes{};
    while (socket_ != nullptr) {
        const std::size_t count = bufferevent_read(socket_, bytes.data(), bytes.size());
        if (count == 0) {
            return;
        }
        decoder_.feed(std::string_view(bytes.data(), count));
        takeFrames();
    }
}

void PeerLink::takeFrames()
{
    while (socket_ != nullptr) {
        auto frame = decoder_.next();
        if (frame.has_error()) {
            fail(frame.error());
            return;
        }
        if (!frame.value()) {
            return;
        }
        takeFrame(std::move(*frame.value()));
    }
}

void PeerLink::takeFrame(Frame frame)
{
    if (!isEstablished_) {
        takeHandshakeFrame(frame);
        return;
    }
    unheardSince_.reset();
    receivedAt_ = clock_.now();
    if (frame.kind_ == MessageKind::Heartbeat) {
        takeHeartbeat(frame);
        return;
    }
    if (isLinkInternal(frame.kind_)) {
        fail(Error{ ErrorKind::FrameUnknown, "a second handshake" });
        return;
    }
    events_.received_(*this, std::move(frame));
}

void PeerLink::takeHandshakeFrame(const Frame &frame)
{
    const auto step = handshake_.take(frame);
    if (step.has_error()) {
        fail(step.error());
        return;
    }
    if (step.value().isDone_ && !events_.admit_(*this)) {
        fail(Error{ ErrorKind::GateUnreachable, "another link to this peer is kept" });
        return;
    }
    write(step.value().reply_);
    if (step.value().isDone_) {
        establish();
    }
}

void PeerLink::takeHeartbeat(const Frame &frame)
{
    const auto heartbeat = unpackMessage<HeartbeatMessage>(frame.payload_);
    if (heartbeat.has_error()) {
        fail(heartbeat.error());
        return;
    }
    const std::uint64_t sequence = heartbeat.value().sequence_;
    if (!heartbeat.value().isAnswer_) {
        const HeartbeatMessage answer{ sequence, true };
        write(encodeFrame(MessageKind::Heartbeat, packMessage(answer)));
        return;
    }
    if (awaitsAnswer_ && sequence == heartbeatSequence_) {
        awaitsAnswer_ = false;
        heartbeatAt_ = clock_.now();
    }
}

void PeerLink::establish()
{
    isEstablished_ = true;
    establishedAt_ = clock_.now();
    heartbeatAt_ = establishedAt_;
    receivedAt_ = establishedAt_;
    decoder_.setMaxFrameBytes(limits_.maxFrameBytes_);
    events_.established_(*this);
}

void PeerLink::write(std::string_view bytes)
{
    if (socket_ != nullptr && !bytes.empty()) {
        bufferevent_write(socket_, bytes.data(), bytes.size());
    }
}

void PeerLink::fail(const Error &error)
{
    if (socket_ == nullptr) {
        return;
    }
    const Ptr self = shared_from_this();
    close();
    events_.closed_(*this, error);
}

void PeerLink::checkHandshake(TimePoint now)
{
    if (!isConnected_ && now - startedAt_ >= limits_.connectLimit_) {
        fail(Error{ ErrorKind::GateUnreachable, "no connection within the limit" });
    } else if (now - startedAt_ >= limits_.handshakeLimit_) {
        fail(Error{ ErrorKind::LinkUnauthenticated, "no proof within the limit" });
    }
}

void PeerLink::checkHeartbeat(TimePoint now)
{
    if (awaitsAnswer_) {
        if (now - heartbeatAt_ >= limits_.heartbeatLimit_) {
            fail(Error{ ErrorKind::PeerLinkLost, "a heartbeat was not answered" });
        }
        return;
    }
    if (!isHeartbeatDue(now)) {
        return;
    }
    awaitsAnswer_ = true;
    hasSentSinceAnswer_ = false;
    heartbeatAt_ = now;
    const HeartbeatMessage request{ ++heartbeatSequence_, false };
    write(encodeFrame(MessageKind::Heartbeat, packMessage(request)));
}

bool PeerLink::isHeartbeatDue(TimePoint now) const
{
    if (unheardSince_ && now - *unheardSince_ >= limits_.heartbeatPeriod_) {
        return true;
    }
    const bool isQuiet = now - receivedAt_ >= limits_.idleHeartbeatPeriod_;
    return now - heartbeatAt_ >= limits_.idleHeartbeatPeriod_ && (isQuiet || hasSentSinceAnswer_);
}

/// Sends at once, and lets TCP fail if the peer's side does not acknowledge: this finds a
/// cut in either direction without a message.
void PeerLink::prepareSocket()
{
    using std::chrono::milliseconds;
    const evutil_socket_t descriptor = bufferevent_getfd(socket_);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto limit = std::chrono::duration_cast<milliseconds>(limits_.heartbeatLimit_);
    const auto limitMs = static_cast<unsigned int>(limit.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs, sizeof(limitMs));
}

} // namespace qz
