// Tries whether servers accept connections.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_http/stream/backendconnection.h"

#include <functional>
#include <memory>

namespace qz {

enum class ConnectResult : std::uint8_t {
    Accepted, ///< The connection was opened.
    Failed,   ///< The server or its host rejected it.
    TimedOut, ///< Nothing came back.
};

/// Opens one connection, closes it at once and tells the result. Dropping the check cancels it.
class ConnectCheck : private BackendConnectionListener
{
public:
    /// Called once, not before the constructor has returned. May drop the check.
    using Handler = std::function<void(ConnectResult)>;

    ConnectCheck(EventLoop &loop, const Endpoint &server, Duration limit, Handler handler);

private:
    void takeConnected() override { finish(ConnectResult::Accepted); }
    void takeAnswerHead(HttpHead /*head*/) override { }
    void takeAnswerBody(std::string_view /*data*/) override { }
    void takeAnswerEnd() override { }
    void takeFailure(const Error & /*error*/) override { finish(ConnectResult::Failed); }
    void takeSendDrained() override { }
    void finish(ConnectResult result);

    const Handler handler_;
    std::unique_ptr<BackendConnection> connection_; ///< Null once the result was told.
    Timers::HandlePtr timer_;
};

} // namespace qz
