// Listens for callers whose requests and answers are streamed.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/server/lingeringcloses.h"
#include "qz_http/stream/callerconnection.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace qz {

/// What callers may send, and how long they may take.
struct CallerLimits
{
    std::size_t headBytes_ = std::size_t(16) * 1024;
    std::uint64_t bodyBytes_ = std::uint64_t(64) * 1024 * 1024;
    Duration headTimeout_ = std::chrono::seconds(10); ///< From the first byte to a whole head.
    Duration idleTimeout_ = std::chrono::seconds(60); ///< Between two requests.
    /// From a whole head until the request is handed over, with its body or the first part of it.
    Duration bodyTimeout_ = std::chrono::seconds(30);
};

/// Accepts connections and hands each request to a handler once its body is whole, or more
/// of it has come than is held at once.
/// @see CallerExchange
class CallerServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<CallerExchange> &)>;

    CallerServer(EventLoop &loop, CallerLimits limits, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Listens at @p endpoint. Errors: InvalidSettings if the address cannot be had.
    Result<void> listen(const Endpoint &endpoint);
    void stopListening();

    /// Limits of connections accepted from now on; the time limits also of those open.
    void setLimits(CallerLimits limits) { limits_ = limits; }

    /// From now on each answer ends its connection.
    void startClosing() { isClosing_ = true; }
    /// Closes the connections that have been idle for @p quietTime.
    void closeIdleConnections(Duration quietTime);

    /// Returns the number of connections, including those that are being closed.
    std::size_t connectionCount() const { return connections_.size() + lingering_.count(); }
    std::size_t busyCount() const;

    // For CallerConnection.
    EventLoop &loop() { return loop_; }
    const CallerLimits &limits() const { return limits_; }
    bool isClosing() const { return isClosing_; }
    void handle(const std::shared_ptr<CallerExchange> &exchange) { handler_(exchange); }
    void noteRefused(const Error &error);
    void dropLater(CallerConnection *connection);
    void closeLingering(bufferevent *stream) { lingering_.add(stream); }

private:
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *address, int length,
                         void *self);
    void closeExpired();
    void dropEnded();

    EventLoop &loop_;
    CallerLimits limits_;
    const Handler handler_;
    evconnlistener *listener_ = nullptr;
    std::map<CallerConnection *, std::unique_ptr<CallerConnection>> connections_;
    LingeringCloses lingering_;
    std::vector<CallerConnection *> ended_; ///< Dropped on the loop's next turn.
    Timers::HandlePtr drop_;
    Timers::HandlePtr expiry_;
    bool isClosing_ = false;
};

} // namespace qz
