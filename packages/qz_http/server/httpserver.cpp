// The server on libevhtp: its hooks, and what becomes of each request.
#include "qz_http/server/httpserver.h"

#include "qz_core/loop/timevalue.h"

#include <evhtp/evhtp.h>

#include <algorithm>

namespace qz {

namespace {

constexpr int listenBacklog = 1024;
constexpr Duration lingerLimit = std::chrono::seconds(2);
constexpr std::size_t headLimitBytes = std::size_t(64) * 1024;

} // namespace

/// The hooks of evhtp, in the order in which they run for a connection and its requests.
struct HttpServer::Hooks
{
    static evhtp_res onAccept(evhtp_connection_t *connection, void *server)
    {
        static_cast<HttpServer *>(server)->connections_.emplace(connection, 0);
        set(connection, evhtp_hook_on_header, &Hooks::onHeader, server);
        set(connection, evhtp_hook_on_headers, &Hooks::onHeaders, server);
        set(connection, evhtp_hook_on_connection_fini, &Hooks::onConnectionEnd, server);
        return EVHTP_RES_OK;
    }

    static evhtp_res onHeader(evhtp_request_t *request, evhtp_header_t *header, void *server)
    {
        std::size_t &bytes = static_cast<HttpServer *>(server)->connections_[request->conn];
        bytes += header->klen + header->vlen;
        return bytes > headLimitBytes ? EVHTP_RES_ERROR : EVHTP_RES_OK;
    }

    static evhtp_res onHeaders(evhtp_request_t *request, evhtp_headers_t * /*headers*/,
                               void *server)
    {
        auto &self = *static_cast<HttpServer *>(server);
        self.connections_[request->conn] = 0;
        const auto exchange = std::make_shared<HttpExchange>(
                self.loop_, request, [&self](evhtp_request_t *answered) { self.close(answered); });
        self.exchanges_[request] = exchange;
        exchange->readRequest();
        if (evhtp_request_content_len(request) > self.limits_.bodyBytes_) {
            exchange->setProblem(failure(ErrorKind::RequestTooLarge, "the body is too large"));
        }
        set(request, evhtp_hook_on_read, &Hooks::onBody, server);
        set(request, evhtp_hook_on_request_fini, &Hooks::onRequestEnd, server);
        if (exchange->problem()) {
            self.answerLater(exchange);
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res onBody(evhtp_request_t *request, evbuffer *data, void *server)
    {
        auto &self = *static_cast<HttpServer *>(server);
        const auto exchange = self.exchangeOf(request);
        const std::size_t count = evbuffer_get_length(data);
        if (exchange == nullptr || exchange->problem()) {
            evbuffer_drain(data, count);
            return EVHTP_RES_OK;
        }
        std::string &body = exchange->request_.body_;
        if (body.size() + count > self.limits_.bodyBytes_) {
            evbuffer_drain(data, count);
            exchange->setProblem(failure(ErrorKind::RequestTooLarge, "the body is too large"));
            self.answerLater(exchange);
            return EVHTP_RES_OK;
        }
        const std::size_t before = body.size();
        body.resize(before + count);
        evbuffer_remove(data, body.data() + before, count);
        return EVHTP_RES_OK;
    }

    static void onRequest(evhtp_request_t *request, void *server)
    {
        auto &self = *static_cast<HttpServer *>(server);
        const auto exchange = self.exchangeOf(request);
        if (exchange == nullptr) {
            return;
        }
        evhtp_request_pause(request);
        if (!exchange->problem()) {
            self.answerLater(exchange);
        }
    }

    static evhtp_res onRequestEnd(evhtp_request_t *request, void *server)
    {
        auto &self = *static_cast<HttpServer *>(server);
        const auto exchange = self.exchangeOf(request);
        self.exchanges_.erase(request);
        if (exchange != nullptr) {
            exchange->loseCaller();
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res onConnectionEnd(evhtp_connection_t *connection, void *server)
    {
        static_cast<HttpServer *>(server)->connections_.erase(connection);
        return EVHTP_RES_OK;
    }

    /// evhtp takes each kind of hook as a function without parameters.
    template<typename Hook>
    static evhtp_hook toHook(Hook hook)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
    }

    template<typename Hook>
    static void set(evhtp_connection_t *connection, evhtp_hook_type type, Hook hook, void *server)
    {
        evhtp_connection_set_hook(connection, type, toHook(hook), server);
    }

    template<typename Hook>
    static void set(evhtp_request_t *request, evhtp_hook_type type, Hook hook, void *server)
    {
        evhtp_request_set_hook(request, type, toHook(hook), server);
    }
};

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler)
    : loop_(loop)
    , limits_(limits)
    , handler_(std::move(handler))
    , evhtp_(evhtp_new(loop.base(), this))
    , lingering_(loop, lingerLimit)
{
    evhtp_set_gencb(evhtp_, &Hooks::onRequest, this);
    evhtp_set_post_accept_cb(evhtp_, &Hooks::onAccept, this);
    evhtp_enable_flag(evhtp_, EVHTP_FLAG_ENABLE_NODELAY);
    const timeval idle = toTimeval(limits_.idleTimeout_);
    evhtp_set_timeouts(evhtp_, &idle, &idle);
}

HttpServer::~HttpServer()
{
    stopListening();
    while (!connections_.empty()) {
        evhtp_connection_free(connections_.begin()->first);
    }
    evhtp_free(evhtp_);
}

Result<void> HttpServer::listen(const Endpoint &endpoint)
{
    if (evhtp_bind_socket(evhtp_, endpoint.host_.c_str(), endpoint.port_, listenBacklog) != 0) {
        return failure(ErrorKind::InvalidSettings, "cannot listen at " + toString(endpoint));
    }
    isListening_ = true;
    return success();
}

void HttpServer::stopListening()
{
    if (isListening_) {
        evhtp_unbind_socket(evhtp_);
        isListening_ = false;
    }
}

void HttpServer::closeIdleConnections()
{
    std::set<evhtp_connection *> idle;
    for (const auto &[connection, headBytes] : connections_) {
        idle.insert(connection);
    }
    for (const auto &[request, exchange] : exchanges_) {
        idle.erase(request->conn);
    }
    for (evhtp_connection *connection : idle) {
        evhtp_connection_free(connection);
    }
}

void HttpServer::close(evhtp_request *request)
{
    evhtp_connection_t *connection = evhtp_request_get_connection(request);
    exchanges_.erase(request);
    connections_.erase(connection);
    bufferevent *stream = evhtp_connection_take_ownership(connection); // Unsets all hooks.
    evhtp_connection_free(connection);
    lingering_.add(stream);
}

std::shared_ptr<HttpExchange> HttpServer::exchangeOf(evhtp_request *request) const
{
    const auto found = exchanges_.find(request);
    return found == exchanges_.end() ? nullptr : found->second;
}

void HttpServer::answerLater(const std::shared_ptr<HttpExchange> &exchange)
{
    // The parser still holds the connection's input; on the next turn of the loop what is
    // left there belongs to a further request.
    exchange->start_ = loop_.callAfter(Duration::zero(), [this, weak = exchange->weak_from_this()] {
        const auto locked = weak.lock();
        if (locked != nullptr && locked->isOpen()) {
            answer(locked);
        }
    });
}

void HttpServer::answer(const std::shared_ptr<HttpExchange> &exchange)
{
    if (isClosing_) {
        exchange->closeAfterReply();
    }
    if (exchange->problem()) {
        HttpResponse response;
        response.status_ = answerOf(exchange->problem()->kind_).httpStatus_;
        response.headers_.add("Quetzaldale-Outcome", std::string(toString(Outcome::NotRun)));
        response.headers_.add("Quetzaldale-Cause",
                              std::string(toString(exchange->problem()->kind_)));
        response.body_ = exchange->problem()->message_ + "\n";
        exchange->reply(response);
        return;
    }
    exchange->startPeeking();
    handler_(exchange);
}

} // namespace qz
