// A client connection on evhttp.
#include "qz_http/client/httpconnection.h"

#include "qz_core/faults/faultpoint.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <cassert>
#include <utility>

namespace qz {

namespace {

constexpr const char *requestIdHeader = "X-Request-Id";
constexpr std::size_t headerLimitBytes = 64UL * 1024;

struct MethodName
{
    evhttp_cmd_type command_;
    std::string_view name_;
};

constexpr std::array methodNames{
    MethodName{ EVHTTP_REQ_GET, "GET" },       MethodName{ EVHTTP_REQ_POST, "POST" },
    MethodName{ EVHTTP_REQ_HEAD, "HEAD" },     MethodName{ EVHTTP_REQ_PUT, "PUT" },
    MethodName{ EVHTTP_REQ_DELETE, "DELETE" }, MethodName{ EVHTTP_REQ_OPTIONS, "OPTIONS" },
    MethodName{ EVHTTP_REQ_PATCH, "PATCH" },
};

std::optional<evhttp_cmd_type> commandOf(std::string_view method)
{
    for (const MethodName &entry : methodNames) {
        if (entry.name_ == method) {
            return entry.command_;
        }
    }
    return std::nullopt;
}

std::string takeBody(evhttp_request *request)
{
    evbuffer *buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

bool hasNoBody(int status)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status == noContent || status == notModified;
}

bool isChunked(const evkeyvalq *headers)
{
    const char *coding = evhttp_find_header(headers, "Transfer-Encoding");
    return coding != nullptr && equalsIgnoringCase(coding, "chunked");
}

evhttp_request *makeRequest(const HttpRequest &request, const Endpoint &server,
                            const RequestId &requestId, void (*onAnswer)(evhttp_request *, void *),
                            void *channel)
{
    evhttp_request *made = evhttp_request_new(onAnswer, channel);
    evkeyvalq *headers = evhttp_request_get_output_headers(made);
    for (const HttpHeader &header : request.headers_.all()) {
        evhttp_add_header(headers, header.name_.c_str(), header.value_.c_str());
    }
    evhttp_remove_header(headers, requestIdHeader);
    evhttp_add_header(headers, requestIdHeader, requestId.value().c_str());
    if (evhttp_find_header(headers, "Host") == nullptr) {
        evhttp_add_header(headers, "Host", toString(server).c_str());
    }
    evhttp_remove_header(headers, "Content-Length");
    evhttp_add_header(headers, "Content-Length", std::to_string(request.body_.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(made), request.body_.data(),
                 request.body_.size());
    return made;
}

} // namespace

/// What libevent's callbacks hold: the connection and whom it serves.
struct HttpConnection::Channel
{
    HttpConnection *owner_; ///< Null once the connection was given up.
    evhttp_connection *connection_;
};

HttpConnection::HttpConnection(EventLoop &loop, Endpoint server, std::size_t answerLimitBytes)
    : loop_(loop)
    , server_(std::move(server))
    , answerLimitBytes_(answerLimitBytes)
{
}

HttpConnection::~HttpConnection()
{
    abandon();
}

void HttpConnection::open()
{
    evhttp_connection *connection =
            evhttp_connection_base_new(loop_.base(), nullptr, server_.host_.c_str(), server_.port_);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_max_headers_size(connection, static_cast<ssize_t>(headerLimitBytes));
    evhttp_connection_set_max_body_size(connection, static_cast<ssize_t>(answerLimitBytes_));
    channel_ = new Channel{ this, connection };
    bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    evbuffer_add_cb(bufferevent_get_output(stream), &HttpConnection::onOutput, channel_);
}

void HttpConnection::send(const HttpRequest &request, const RequestId &requestId, Duration timeout,
                          Done done)
{
    assert(!isBusy());
    const auto command = commandOf(request.method_);
    if (!command) {
        done(failure(ErrorKind::BadRequest, "method " + request.method_ + " is not passed on"));
        return;
    }
    if (channel_ == nullptr) {
        open();
    }
    done_ = std::move(done);
    requestId_ = requestId;
    isHandedOver_ = false;
    isEndMarked_ = false;
    timeout_ = loop_.callAfter(timeout, [this] {
        finish(connectionError(ErrorKind::BackendTimeout, "time was up"), false);
    });
    evhttp_request *made =
            makeRequest(request, server_, requestId, &HttpConnection::onAnswer, channel_);
    evhttp_request_set_header_cb(made, &HttpConnection::onHeaders);
    evhttp_connection *connection = channel_->connection_;
    if (evhttp_make_request(connection, made, *command, request.target_.c_str()) != 0 && isBusy()) {
        finish(connectionError(ErrorKind::BackendCut, "could not connect"), false);
    }
}

void HttpConnection::abandon()
{
    timeout_.reset();
    done_ = nullptr;
    if (channel_ != nullptr) {
        // libevent goes on using a connection after the callback of its request.
        Channel *channel = std::exchange(channel_, nullptr);
        channel->owner_ = nullptr;
        const timeval now{};
        event_base_once(loop_.base(), -1, EV_TIMEOUT, &HttpConnection::destroyChannel, channel,
                        &now);
    }
}

void HttpConnection::destroyChannel(int /*descriptor*/, short /*flags*/, void *channel)
{
    const std::unique_ptr<Channel> owned(static_cast<Channel *>(channel));
    evhttp_connection_free(owned->connection_);
}

void HttpConnection::onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *channel)
{
    HttpConnection *owner = static_cast<Channel *>(channel)->owner_;
    if (owner != nullptr && info->n_added > 0) {
        owner->isHandedOver_ = true;
    }
}

int HttpConnection::onHeaders(evhttp_request *request, void *channel)
{
    HttpConnection *owner = static_cast<Channel *>(channel)->owner_;
    if (owner == nullptr) {
        return -1;
    }
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const bool hasLength = evhttp_find_header(headers, "Content-Length") != nullptr;
    const bool isHead = evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
    owner->isEndMarked_ = hasLength || isHead || isChunked(headers)
            || hasNoBody(evhttp_request_get_response_code(request));
    return 0;
}

void HttpConnection::onAnswer(evhttp_request *request, void *channel)
{
    HttpConnection *owner = static_cast<Channel *>(channel)->owner_;
    if (owner == nullptr || !owner->isBusy()) {
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        const Error error = owner->connectionError(ErrorKind::BackendCut, "the connection ended");
        owner->finish(error, false);
        return;
    }
    auto result = owner->readAnswer(request);
    const bool isKept = result.has_value() && !owner->hasUnreadBytes();
    owner->finish(std::move(result), isKept);
}

Result<HttpResponse> HttpConnection::readAnswer(evhttp_request *request) const
{
    if (!isEndMarked_) {
        return failure(ErrorKind::BackendCut, "the answer's end is not marked");
    }
    HttpResponse response;
    response.status_ = evhttp_request_get_response_code(request);
    if (!isStatus(response.status_)) {
        return failure(ErrorKind::AnswerMismatch, "the answer has no proper status");
    }
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
        response.headers_.add(header->key, header->value);
    }
    const auto echoed = response.headers_.find(requestIdHeader);
    if (echoed && *echoed != requestId_.value()) {
        return failure(ErrorKind::AnswerMismatch, "the answer is that of request " + *echoed);
    }
    response.body_ = takeBody(request);
    return response;
}

void HttpConnection::finish(Result<HttpResponse> result, bool isKept)
{
    timeout_.reset();
    const Done done = std::exchange(done_, nullptr);
    if (!isKept) {
        abandon();
    }
    done(std::move(result)); // May destroy this connection.
}

Error HttpConnection::connectionError(ErrorKind kindOnceHandedOver, const std::string &what) const
{
    const bool mayHaveRun = isHandedOver_ && !isFaultInjected(FaultPoint::NotRunGuessed);
    const ErrorKind kind = mayHaveRun ? kindOnceHandedOver : ErrorKind::BackendConnectFailed;
    return failure(kind, what + " (" + toString(server_) + ")");
}

bool HttpConnection::hasUnreadBytes() const
{
    bufferevent *stream = evhttp_connection_get_bufferevent(channel_->connection_);
    return evbuffer_get_length(bufferevent_get_input(stream)) > 0;
}

} // namespace qz
