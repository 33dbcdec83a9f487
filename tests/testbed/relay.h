// A loopback relay that can harm the connections through it.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include <sys/types.h>

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
    ResetNew,     ///< New connections are reset; open ones live on.
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

    /// Resets all connections and refuses new ones, as a server whose process has ended.
    void stop();

    /// Tells connections of these processes apart from now on. @see setModeFor
    void setProcesses(std::vector<pid_t> processes) { processes_ = std::move(processes); }
    /// Sets the mode for the connections of one process; RelayMode::Pass returns to that of all.
    void setModeFor(pid_t process, RelayMode mode);

private:
    struct Pair;
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *address, int length,
                         void *self);
    static void onRead(bufferevent *from, void *pair);
    static void onEvent(bufferevent *stream, short events, void *pair);
    void pass(Pair &pair, bool isToServer);
    void drop(Pair &pair, bool isReset);
    RelayMode modeOf(pid_t process) const;

    EventLoop &loop_;
    const Endpoint server_;
    Endpoint endpoint_;
    RelayMode mode_ = RelayMode::Pass;
    Duration delay_{ 0 };
    evconnlistener *listener_ = nullptr;
    std::list<std::unique_ptr<Pair>> pairs_;
    std::vector<pid_t> processes_;
    std::map<pid_t, RelayMode> processModes_; ///< Only modes other than RelayMode::Pass.
};

} // namespace qz::testing
