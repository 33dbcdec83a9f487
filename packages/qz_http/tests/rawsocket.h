// A plain TCP peer for tests that need to send bytes as they are.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <chrono>
#include <functional>
#include <string>

namespace qz::testing {

inline sockaddr_in toAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port_);
    inet_pton(AF_INET, endpoint.host_.c_str(), &address.sin_addr);
    return address;
}

/// A port that is free at the moment of the call.
inline std::uint16_t findFreePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = toAddress({ "127.0.0.1", 0 });
    socklen_t size = sizeof address;
    (void)bind(descriptor, reinterpret_cast<sockaddr *>(&address), size);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    evutil_closesocket(descriptor);
    return ntohs(address.sin_port);
}

/// Connects, sends text as it is and keeps what comes back.
class RawClient
{
public:
    RawClient(EventLoop &loop, const Endpoint &server)
        : loop_(loop)
        , stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(stream_, &RawClient::onRead, nullptr, &RawClient::onEvent, this);
        bufferevent_enable(stream_, EV_READ | EV_WRITE);
        const sockaddr_in address = toAddress(server);
        bufferevent_socket_connect(stream_, reinterpret_cast<const sockaddr *>(&address),
                                   sizeof address);
    }
    ~RawClient() { close(); }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &text) { bufferevent_write(stream_, text.data(), text.size()); }

    /// Stops or goes on reading, as a slow peer does.
    void setReading(bool isReading)
    {
        if (isReading) {
            bufferevent_enable(stream_, EV_READ);
        } else {
            bufferevent_disable(stream_, EV_READ);
        }
    }

    void close()
    {
        if (stream_ != nullptr) {
            bufferevent_free(std::exchange(stream_, nullptr));
        }
    }

    /// Runs the loop until the connection was closed by the server, or for @p limit.
    void awaitEnd(Duration limit = std::chrono::seconds(3))
    {
        const TimePoint end = loop_.now() + limit;
        while (!hasEnded_ && loop_.now() < end) {
            loop_.runFor(end - loop_.now()); // The end of another client stops it early.
        }
    }

    const std::string &received() const { return received_; }
    bool hasEnded() const { return hasEnded_; }
    /// Returns whether the connection ended with an error, such as a reset.
    bool wasReset() const { return wasReset_; }

private:
    static void onRead(bufferevent *stream, void *self)
    {
        evbuffer *input = bufferevent_get_input(stream);
        std::string text(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, text.data(), text.size());
        static_cast<RawClient *>(self)->received_ += text;
    }

    static void onEvent(bufferevent * /*stream*/, short events, void *self)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<RawClient *>(self)->hasEnded_ = true;
            static_cast<RawClient *>(self)->wasReset_ = (events & BEV_EVENT_ERROR) != 0;
            static_cast<RawClient *>(self)->loop_.stop();
        }
    }

    EventLoop &loop_;
    bufferevent *stream_;
    std::string received_;
    bool hasEnded_ = false;
    bool wasReset_ = false;
};

/// Accepts connections and answers each read by a script.
class RawServer
{
public:
    /// Called with the stream and the number of reads so far on any connection, from 1 up.
    using Script = std::function<void(bufferevent *stream, int reads)>;

    RawServer(EventLoop &loop, Script script)
        : loop_(loop)
        , script_(std::move(script))
    {
        const sockaddr_in address = toAddress({ "127.0.0.1", 0 });
        listener_ = evconnlistener_new_bind(
                loop.base(), &RawServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                -1, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    }
    ~RawServer() { stopListening(); }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Endpoint endpoint() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr *>(&address),
                    &size);
        return { "127.0.0.1", ntohs(address.sin_port) };
    }

    /// Refuses connections from now on.
    void stopListening()
    {
        if (listener_ != nullptr) {
            evconnlistener_free(std::exchange(listener_, nullptr));
        }
    }

    int connectionCount() const { return connections_; }
    int readCount() const { return reads_; }
    /// Returns all bytes received so far, of all connections.
    const std::string &received() const { return received_; }

private:
    static void onAccept(evconnlistener * /*listener*/, evutil_socket_t descriptor,
                         sockaddr * /*address*/, int /*size*/, void *self)
    {
        auto &server = *static_cast<RawServer *>(self);
        ++server.connections_;
        bufferevent *stream =
                bufferevent_socket_new(server.loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(stream, &RawServer::onRead, nullptr, &RawServer::onEvent, self);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    static void onRead(bufferevent *stream, void *self)
    {
        auto &server = *static_cast<RawServer *>(self);
        evbuffer *input = bufferevent_get_input(stream);
        std::string text(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, text.data(), text.size());
        server.received_ += text;
        server.script_(stream, ++server.reads_);
    }

    static void onEvent(bufferevent *stream, short events, void * /*self*/)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            bufferevent_free(stream);
        }
    }

    EventLoop &loop_;
    Script script_;
    evconnlistener *listener_;
    std::string received_;
    int connections_ = 0;
    int reads_ = 0;
};

inline void write(bufferevent *stream, const std::string &text)
{
    bufferevent_write(stream, text.data(), text.size());
}

} // namespace qz::testing
