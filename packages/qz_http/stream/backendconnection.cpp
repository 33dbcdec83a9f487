// Requests to a backend server and what comes back.
#include "qz_http/stream/backendconnection.h"

#include "qz_http/stream/socketoptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace qz {

namespace {

constexpr std::size_t answerHeadLimitBytes = std::size_t(64) * 1024;
/// Answers to other requests that a connection may bring before the one that is due.
constexpr int maxSkippedAnswers = 4;
constexpr std::size_t maxSkippedBytes = std::size_t(1024) * 1024;
constexpr std::size_t inputLimitBytes = std::size_t(256) * 1024;
/// Parts of the limit of silence after which it is extended for the first time, and then again. Few
/// requests last that long.
constexpr int firstSilenceCheckPart = 2;
constexpr int silenceCheckPart = 8;

/// The "timeout" parameter of a Keep-Alive field; zero if there is none.
Duration parseKeepAlive(const std::string &text)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = text.find(name);
    int value = 0;
    if (at == std::string::npos) {
        return Duration::zero();
    }
    const char *first = text.data() + at + name.size();
    std::from_chars(first, text.data() + text.size(), value);
    return std::chrono::seconds(value);
}

} // namespace

BackendConnection::BackendConnection(EventLoop &loop, const Endpoint &server, Duration silenceLimit)
    : loop_(loop)
    , server_(server)
    , silenceLimit_(silenceLimit)
    , stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , parser_(HttpRole::Response, *this, answerHeadLimitBytes)
    , idleSince_(loop.now())
{
    bufferevent_setcb(stream_, &BackendConnection::onRead, &BackendConnection::onWritten,
                      &BackendConnection::onEvent, this);
    bufferevent_setwatermark(stream_, EV_READ, 0, inputLimitBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port_);
    inet_pton(AF_INET, server.host_.c_str(), &address.sin_addr);
    // A failure that is known at once is reported through onEvent on the loop's next turn.
    bufferevent_socket_connect(stream_, reinterpret_cast<sockaddr *>(&address), sizeof address);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

BackendConnection::~BackendConnection()
{
    bufferevent_free(stream_);
}

void BackendConnection::sendHead(const HttpHead &head)
{
    isHandedOver_ = true;
    isRequestEnded_ = false;
    isAnswerKeptAlive_ = true;
    isSkipping_ = false;
    skippedAnswers_ = 0;
    skippedBytes_ = 0;
    parser_.reset(head.method_ == "HEAD");
    sentFraming_ = head.framing_;
    silenceTimer_ =
            loop_.callAfter(silenceLimit_ / firstSilenceCheckPart, [this] { checkSilence(); });
    const std::string text = formatRequestHead(head);
    bufferevent_write(stream_, text.data(), text.size());
}

void BackendConnection::sendBody(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    if (sentFraming_ == BodyFraming::Chunked) {
        const std::string chunk = formatChunk(data);
        bufferevent_write(stream_, chunk.data(), chunk.size());
    } else {
        bufferevent_write(stream_, data.data(), data.size());
    }
}

void BackendConnection::endRequest()
{
    if (sentFraming_ == BodyFraming::Chunked) {
        bufferevent_write(stream_, lastChunk.data(), lastChunk.size());
    }
    isRequestEnded_ = true;
}

std::size_t BackendConnection::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(stream_));
}

void BackendConnection::setReading(bool isReading)
{
    if (isReading) {
        bufferevent_enable(stream_, EV_READ);
    } else {
        bufferevent_disable(stream_, EV_READ);
    }
}

bool BackendConnection::isReusable() const
{
    return isConnected_ && !isFailed_ && isRequestEnded_ && parser_.hasEnded() && isAnswerKeptAlive_
            && evbuffer_get_length(bufferevent_get_input(stream_)) == 0 && unsentBytes() == 0;
}

void BackendConnection::onRead(bufferevent * /*stream*/, void *self)
{
    static_cast<BackendConnection *>(self)->parseInput();
}

void BackendConnection::onWritten(bufferevent * /*stream*/, void *self)
{
    const auto &connection = *static_cast<BackendConnection *>(self);
    if (connection.listener_ != nullptr) {
        connection.listener_->takeSendDrained();
    }
}

void BackendConnection::onEvent(bufferevent *stream, short events, void *self)
{
    auto &connection = *static_cast<BackendConnection *>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        connection.isConnected_ = true;
        setSilenceLimit(bufferevent_getfd(stream), connection.silenceLimit_);
        if (connection.listener_ != nullptr) {
            connection.listener_->takeConnected();
        }
        return;
    }
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) {
        return;
    }
    const int reason = EVUTIL_SOCKET_ERROR();
    const bool isAnswerEnd = (events & BEV_EVENT_EOF) != 0 && connection.parser_.endOfStream();
    // An answer to another request that ends with the connection leaves this one without any.
    if (isAnswerEnd && !connection.isSkipping_) {
        connection.isFailed_ = true;
        connection.listener_->takeAnswerEnd();
        return;
    }
    if (!connection.isConnected_) {
        connection.fail(ErrorKind::BackendConnectFailed, std::strerror(reason));
    } else if ((events & BEV_EVENT_EOF) == 0 && reason == ETIMEDOUT) {
        connection.fail(ErrorKind::BackendTimeout, "silent");
    } else {
        connection.fail(ErrorKind::BackendCut,
                        (events & BEV_EVENT_EOF) != 0 ? "closed" : std::strerror(reason));
    }
}

void BackendConnection::parseInput()
{
    evbuffer *input = bufferevent_get_input(stream_);
    while (evbuffer_get_length(input) > 0) {
        if (listener_ == nullptr || parser_.hasEnded()) {
            fail(ErrorKind::AnswerMismatch, "bytes after the answer");
            return;
        }
        const std::size_t size = evbuffer_get_length(input);
        const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
        const auto consumed = parser_.parse({ data, size });
        if (consumed.has_error()) {
            fail(ErrorKind::AnswerMismatch, consumed.error().message_);
            return;
        }
        if (consumed.value() == 0) {
            return;
        }
        evbuffer_drain(input, consumed.value());
        if (parser_.hasEnded() && isSkipping_) {
            isSkipping_ = false;
            ++skippedAnswers_;
            parser_.reset();
        }
        if (skippedAnswers_ > maxSkippedAnswers || skippedBytes_ > maxSkippedBytes) {
            rejectAnswer("answers to other requests without end");
        }
        if (!rejection_.empty()) {
            fail(ErrorKind::AnswerMismatch, rejection_);
            return;
        }
        if (parser_.hasEnded()) {
            idleSince_ = loop_.now();
            silenceTimer_.reset();
            setReading(true); // Back pressure ends with the answer.
            listener_->takeAnswerEnd();
            return;
        }
    }
}

void BackendConnection::checkSilence()
{
    extendSilenceLimit(bufferevent_getfd(stream_), silenceLimit_);
    silenceTimer_ = loop_.callAfter(silenceLimit_ / silenceCheckPart, [this] { checkSilence(); });
}

void BackendConnection::fail(ErrorKind kind, const std::string &reason)
{
    isFailed_ = true;
    silenceTimer_.reset();
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    if (listener_ != nullptr) {
        listener_->takeFailure(failure(kind, reason + " (" + toString(server_) + ")"));
    }
}

void BackendConnection::takeHead(HttpHead head)
{
    if (const auto keepAlive = head.headers_.find("Keep-Alive")) {
        keepAliveTime_ = parseKeepAlive(*keepAlive);
    }
    isAnswerKeptAlive_ = head.isKeptAlive_;
    listener_->takeAnswerHead(std::move(head));
}

void BackendConnection::takeBody(std::string_view data)
{
    if (isSkipping_) {
        skippedBytes_ += data.size();
    } else {
        listener_->takeAnswerBody(data);
    }
}

void BackendConnection::takeEnd()
{
    // The listener is told once the input has been accounted for. @see parseInput, onEvent
}

} // namespace qz
