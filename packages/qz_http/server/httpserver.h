// An HTTP/1.1 server on libevhtp.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/server/httpexchange.h"
#include "qz_http/server/lingeringcloses.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace qz {

struct HttpServerLimits
{
    std::size_t bodyBytes_ = 1024UL * 1024;
    Duration idleTimeout_ = std::chrono::seconds(60); ///< Also for a slow sender, byte to byte.
};

/// Accepts connections and hands each whole request to a handler as an HttpExchange.
/// A request whose framing is ambiguous or whose body is too large is answered here, with
/// the status of its error kind, and its connection is closed.
/// @see HttpExchange
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Listens at @p endpoint. Errors: InvalidSettings if the address cannot be had.
    Result<void> listen(const Endpoint &endpoint);

    /// Takes no more connections; those that are open go on.
    void stopListening();

    /// From now on each answer closes its connection.
    void startClosing() { isClosing_ = true; }

    /// Closes the connections that wait for a request.
    void closeIdleConnections();

    std::size_t connectionCount() const { return connections_.size(); }
    std::size_t openExchangeCount() const { return exchanges_.size(); }

private:
    struct Hooks;
    friend struct Hooks;
    std::shared_ptr<HttpExchange> exchangeOf(evhtp_request *request) const;
    void answerLater(const std::shared_ptr<HttpExchange> &exchange);
    void close(evhtp_request *request);
    void answer(const std::shared_ptr<HttpExchange> &exchange);

    EventLoop &loop_;
    const HttpServerLimits limits_;
    const Handler handler_;
    evhtp *evhtp_;
    /// All that are open, with the bytes of the head that is being read.
    std::map<evhtp_connection *, std::size_t> connections_;
    std::map<evhtp_request *, std::shared_ptr<HttpExchange>> exchanges_; ///< From headers to end.
    LingeringCloses lingering_;
    bool isListening_ = false;
    bool isClosing_ = false;
};

} // namespace qz
