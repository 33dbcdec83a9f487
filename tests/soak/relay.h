// A loopback relay that can harm the connections through it.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"

#include <cstdint>
#include <list>
#include <memory>

struct evbuffer;
struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace qz::testing {

/// What a relay does to connections.
enum class RelayMode : std::uint8_t {
    Pass,
    Delay,        ///< Bytes come later, both ways.
    Reset,        ///< Open connections are reset, new ones too.
    LoseToServer, ///< Bytes to the server are lost.
    LoseToClient, ///< Bytes to the client are lost.
    Silent,       ///< Bytes are lost both ways.
};

/// Accepts connections and passes their bytes on to one server. A connection that has lost
/// bytes stays silent in that direction for good, also after the mode has changed, as a
/// connection does whose peer is gone without notice.
class Relay
{
public:
    Relay(EventLoop &loop, Endpoint server);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Where clients connect.
    Endpoint endpoint() const { return endpoint_; }

    /// @p delay counts with RelayMode::Delay only.
    void setMode(RelayMode mode, Duration delay = Duration::zero());
    RelayMode mode() const { return mode_; }

private:
    struct Pair;
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *address, int length,
                         void *self);
    static void onRead(bufferevent *from, void *pair);
    static void onEvent(bufferevent *stream, short events, void *pair);
    void pass(Pair &pair, bool isToServer);
    void drop(Pair &pair, bool isReset);

    EventLoop &loop_;
    const Endpoint server_;
    Endpoint endpoint_;
    RelayMode mode_ = RelayMode::Pass;
    Duration delay_{ 0 };
    evconnlistener *listener_ = nullptr;
    std::list<std::unique_ptr<Pair>> pairs_;
};

} // namespace qz::testing
