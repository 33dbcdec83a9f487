// One exchange on libevhtp.
#include "qz_http/server/httpexchange.h"

#include "qz_http/server/requestcheck.h"

#include <evhtp/evhtp.h>

#include <sys/socket.h>

#include <utility>

namespace qz {

namespace {

std::string targetOf(const evhtp_request_t *request)
{
    std::string target = request->uri->path->full;
    if (request->uri->query_raw != nullptr) {
        target += "?";
        target += reinterpret_cast<const char *>(request->uri->query_raw);
    }
    return target;
}

int addHeader(evhtp_header_t *header, void *headers)
{
    static_cast<HttpHeaders *>(headers)->add(std::string(header->key, header->klen),
                                             std::string(header->val, header->vlen));
    return 0;
}

/// Returns whether libevhtp takes the body of a request for chunks. It compares the name of the
/// coding as it was sent, and takes any other spelling for a request without a body.
bool isCodingReadByParser(const HttpHeaders &headers)
{
    const auto coding = headers.find("Transfer-Encoding");
    return !coding || *coding == "chunked" || *coding == "Chunked";
}

void addReplyHeader(evhtp_request_t *request, const std::string &name, const std::string &value)
{
    evhtp_header_t *header = evhtp_header_new(name.c_str(), value.c_str(), 1, 1);
    evhtp_headers_add_header(request->headers_out, header);
}

} // namespace

HttpExchange::HttpExchange(EventLoop &loop, evhtp_request *request, Closer closer)
    : loop_(loop)
    , evhtp_(request)
    , closer_(std::move(closer))
{
}

HttpExchange::~HttpExchange()
{
    stopPeeking();
}

void HttpExchange::readRequest()
{
    request_.method_ = htparser_get_methodstr_m(evhtp_->method);
    request_.target_ = targetOf(evhtp_);
    evhtp_kvs_for_each(evhtp_->headers_in, &addHeader, &request_.headers_);
    const auto framing = checkRequestFraming(request_.headers_);
    if (framing.has_error()) {
        setProblem(framing.error());
    } else if (!isCodingReadByParser(request_.headers_)) {
        setProblem(failure(ErrorKind::BadRequest, "the coding is not spelled \"chunked\""));
    }
}

void HttpExchange::setProblem(Error problem)
{
    problem_ = std::move(problem);
    isClosing_ = true;
}

void HttpExchange::reply(const HttpResponse &response)
{
    if (!isOpen()) {
        return;
    }
    stopPeeking();
    evhtp_request_t *request = std::exchange(evhtp_, nullptr);
    for (const HttpHeader &header : response.headers_.all()) {
        if (!isHopByHop(header.name_) && !equalsIgnoringCase(header.name_, "Content-Length")) {
            addReplyHeader(request, header.name_, header.value_);
        }
    }
    addReplyHeader(request, "Content-Length", std::to_string(response.body_.size()));
    evbuffer *input = bufferevent_get_input(evhtp_request_get_bev(request));
    const bool isClosing = isClosing_ || evbuffer_get_length(input) > 0;
    if (isClosing) {
        addReplyHeader(request, "Connection", "close");
        evhtp_request_set_keepalive(request, 0);
    }
    evbuffer_add(request->buffer_out, response.body_.data(), response.body_.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(response.status_));
    if (isClosing) {
        closer_(request);
        return;
    }
    evhtp_connection_t *connection = evhtp_request_get_connection(request);
    if ((evhtp_connection_get_flags(connection) & EVHTP_CONN_FLAG_PAUSED) != 0) {
        evhtp_request_resume(request);
    }
}

void HttpExchange::abort()
{
    if (isOpen()) {
        evhtp_connection_free(evhtp_request_get_connection(evhtp_)); // Runs loseCaller().
    }
}

void HttpExchange::startPeeking()
{
    evhtp_connection_t *connection = evhtp_request_get_connection(evhtp_);
    if (hasUnreadBytes()) {
        isClosing_ = true;
        return;
    }
    peek_ = event_new(loop_.base(), connection->sock, EV_READ | EV_PERSIST, &HttpExchange::onPeek,
                      this);
    event_add(peek_, nullptr);
}

void HttpExchange::stopPeeking()
{
    if (peek_ != nullptr) {
        event_free(std::exchange(peek_, nullptr));
    }
}

void HttpExchange::onPeek(int descriptor, short /*flags*/, void *self)
{
    const auto exchange = static_cast<HttpExchange *>(self)->shared_from_this();
    char byte = 0;
    const ssize_t count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    exchange->stopPeeking();
    if (count > 0) {
        exchange->isClosing_ = true;
        return;
    }
    evhtp_connection_t *connection = evhtp_request_get_connection(exchange->evhtp_);
    evhtp_connection_free(connection); // Runs the hook that calls loseCaller().
}

void HttpExchange::loseCaller()
{
    if (!isOpen()) {
        return;
    }
    stopPeeking();
    evhtp_ = nullptr;
    if (callerGone_) {
        const auto handler = std::exchange(callerGone_, nullptr);
        handler();
    }
}

bool HttpExchange::hasUnreadBytes() const
{
    evbuffer *input = bufferevent_get_input(evhtp_request_get_bev(evhtp_));
    return evbuffer_get_length(input) > 0;
}

} // namespace qz
