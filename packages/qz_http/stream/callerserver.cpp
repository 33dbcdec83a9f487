// Accepts callers' connections and ends those that take too long.
#include "qz_http/stream/callerserver.h"

#include "qz_core/logging/logger.h"

#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace qz {

namespace {

constexpr int listenBacklog = 1024;
constexpr Duration expiryPeriod = std::chrono::seconds(1);
constexpr Duration lingerLimit = std::chrono::seconds(2);

} // namespace

CallerServer::CallerServer(EventLoop &loop, CallerLimits limits, Handler handler)
    : loop_(loop)
    , limits_(limits)
    , handler_(std::move(handler))
    , lingering_(loop, lingerLimit)
{
}

CallerServer::~CallerServer()
{
    stopListening();
    connections_.clear();
}

Result<void> CallerServer::listen(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port_);
    if (inet_pton(AF_INET, endpoint.host_.c_str(), &address.sin_addr) != 1) {
        return failure(ErrorKind::InvalidSettings, "not an IP number: " + endpoint.host_);
    }
    listener_ = evconnlistener_new_bind(
            loop_.base(), &CallerServer::onAccept, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listenBacklog,
            reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (listener_ == nullptr) {
        return failure(ErrorKind::InvalidSettings, "cannot listen at " + toString(endpoint));
    }
    expiry_ = loop_.callEvery(expiryPeriod, [this] { closeExpired(); });
    return success();
}

void CallerServer::stopListening()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
        listener_ = nullptr;
    }
}

void CallerServer::onAccept(evconnlistener * /*listener*/, int descriptor, sockaddr * /*address*/,
                            int /*length*/, void *self)
{
    auto &server = *static_cast<CallerServer *>(self);
    auto connection = std::make_unique<CallerConnection>(server, descriptor);
    server.connections_.emplace(connection.get(), std::move(connection));
}

std::size_t CallerServer::busyCount() const
{
    std::size_t count = 0;
    for (const auto &[key, connection] : connections_) {
        count += connection->isBusy() ? 1 : 0;
    }
    return count;
}

void CallerServer::closeIdleConnections(Duration quietTime)
{
    const TimePoint now = loop_.now();
    for (const auto &[key, connection] : connections_) {
        if (now - connection->quietSince() >= quietTime && connection->isIdle()) {
            connection->close();
        }
    }
}

void CallerServer::noteRefused(const Error &error)
{
    log(LogLevel::Info, "request-malformed",
        { { "kind", toString(error.kind_) }, { "message", error.message_ } });
}

void CallerServer::dropLater(CallerConnection *connection)
{
    ended_.push_back(connection);
    if (drop_ == nullptr) {
        drop_ = loop_.callAfter(Duration::zero(), [this] { dropEnded(); });
    }
}

void CallerServer::dropEnded()
{
    drop_.reset();
    for (CallerConnection *connection : std::exchange(ended_, {})) {
        connections_.erase(connection);
    }
}

void CallerServer::closeExpired()
{
    const TimePoint now = loop_.now();
    for (const auto &[key, connection] : connections_) {
        if (connection->bodyAwaitedSince()) {
            if (now - *connection->bodyAwaitedSince() > limits_.bodyTimeout_) {
                connection->refuse(
                        failure(ErrorKind::RequestTimeout, "the body did not come in time"));
            }
            continue;
        }
        if (connection->isBusy() || connection->unsentBytes() > 0) {
            continue;
        }
        const Duration quiet = now - connection->quietSince();
        if (connection->isIdle() ? quiet > limits_.idleTimeout_ : quiet > limits_.headTimeout_) {
            connection->close();
        }
    }
}

} // namespace qz
