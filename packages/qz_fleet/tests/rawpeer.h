// A peer that speaks the link protocol by hand, and breaks it where a test asks for it.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/handshake.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <memory>
#include <string>
#include <vector>

namespace qz {

/// Dials an instance, does the handshake and then sends what it is told to. It never
/// answers a heartbeat.
class RawPeer
{
public:
    RawPeer(EventLoop &loop, const Endpoint &to, const std::string &id, const std::string &key)
        : handshake_(LinkRole::Dialer, LinkIdentity{ InstanceId(id), id + "-raw" }, key,
                     makeHandshakeNonce())
        , decoder_(1U << 22U)
        , socket_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(socket_, &RawPeer::onReadable, nullptr, &RawPeer::onEvent, this);
        bufferevent_enable(socket_, EV_READ | EV_WRITE);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port_);
        inet_pton(AF_INET, to.host_.c_str(), &address.sin_addr);
        bufferevent_socket_connect(socket_, reinterpret_cast<sockaddr *>(&address),
                                   sizeof(address));
    }

    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;
    ~RawPeer() { bufferevent_free(socket_); }

    void write(const std::string &bytes) { bufferevent_write(socket_, bytes.data(), bytes.size()); }
    void stopReading() { bufferevent_disable(socket_, EV_READ); }
    void stopWriting() { shutdown(bufferevent_getfd(socket_), SHUT_WR); }

    /// Sends these bytes instead of its hello; no handshake follows.
    void setOpening(std::string bytes) { opening_ = std::move(bytes); }

    bool isEstablished() const { return handshake_.isDone(); }
    bool isClosed() const { return isClosed_; }
    const std::vector<Frame> &frames() const { return frames_; }

private:
    static void onReadable(bufferevent * /*socket*/, void *self)
    {
        static_cast<RawPeer *>(self)->read();
    }

    static void onEvent(bufferevent * /*socket*/, short events, void *self)
    {
        auto &peer = *static_cast<RawPeer *>(self);
        if ((static_cast<unsigned>(events) & BEV_EVENT_CONNECTED) != 0) {
            peer.write(peer.opening_.empty() ? peer.handshake_.open() : peer.opening_);
        } else {
            peer.isClosed_ = true;
        }
    }

    void read()
    {
        std::vector<char> bytes(65536);
        const std::size_t count = bufferevent_read(socket_, bytes.data(), bytes.size());
        decoder_.feed(std::string_view(bytes.data(), count));
        for (auto frame = decoder_.next(); frame.has_value() && frame.value();
             frame = decoder_.next()) {
            if (handshake_.isDone() || !opening_.empty()) {
                frames_.push_back(*frame.value());
                continue;
            }
            const auto step = handshake_.take(*frame.value());
            if (step.has_value()) {
                write(step.value().reply_);
            }
        }
    }

    Handshake handshake_;
    FrameDecoder decoder_;
    bufferevent *socket_;
    std::string opening_;
    std::vector<Frame> frames_;
    bool isClosed_ = false;
};

} // namespace qz
