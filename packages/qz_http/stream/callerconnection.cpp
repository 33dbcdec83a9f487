// Requests from a caller's connection.
#include "qz_http/stream/callerconnection.h"

#include "qz_http/stream/callerserver.h"
#include "qz_http/stream/socketoptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

namespace qz {

namespace {

constexpr Duration silenceLimit = std::chrono::seconds(6); ///< Of a caller that vanished.
/// Input held for one connection, beside a head of the greatest size.
constexpr std::size_t inputLimitBytes = std::size_t(64) * 1024;
/// Body bytes held before the request is handed over, and later at most that many unread.
constexpr std::size_t bodyBufferBytes = std::size_t(64) * 1024;
/// Bytes of answers that wait for the caller, over which its next request waits too.
constexpr std::size_t maxUnsentBytes = std::size_t(64) * 1024;

} // namespace

CallerConnection::CallerConnection(CallerServer &server, int descriptor)
    : server_(server)
    , stream_(bufferevent_socket_new(server.loop().base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    , parser_(HttpRole::Request, *this, server.limits().headBytes_)
    , quietSince_(server.loop().now())
{
    setSilenceLimit(descriptor, silenceLimit);
    bufferevent_setcb(stream_, &CallerConnection::onRead, &CallerConnection::onWritten,
                      &CallerConnection::onEvent, this);
    bufferevent_setwatermark(stream_, EV_READ, 0, server.limits().headBytes_ + inputLimitBytes);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection()
{
    if (exchange_ != nullptr) {
        exchange_->connection_ = nullptr;
    }
    if (stream_ != nullptr) {
        bufferevent_free(stream_);
    }
}

void CallerConnection::send(std::string_view data)
{
    if (stream_ != nullptr) {
        bufferevent_write(stream_, data.data(), data.size());
    }
}

std::size_t CallerConnection::unsentBytes() const
{
    return stream_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream_));
}

bool CallerConnection::isKeptAlive() const
{
    return !isClosing_ && !server_.isClosing() && parser_.hasEnded() && exchange_ != nullptr
            && exchange_->head().isKeptAlive_;
}

bool CallerConnection::isIdle() const
{
    return !isEnded_ && exchange_ == nullptr && !parser_.isInMessage() && unsentBytes() == 0
            && evbuffer_get_length(bufferevent_get_input(stream_)) == 0
            && !hasUnreadBytes(bufferevent_getfd(stream_));
}

std::optional<TimePoint> CallerConnection::bodyAwaitedSince() const
{
    return exchange_ == nullptr || isHandedOver_ ? std::nullopt
                                                 : std::optional(exchange_->arrivedAt());
}

void CallerConnection::finishExchange()
{
    const bool isKept = isKeptAlive();
    exchange_->connection_ = nullptr;
    exchange_.reset();
    isHandedOver_ = false;
    quietSince_ = server_.loop().now();
    if (!isKept) {
        close();
        return;
    }
    parser_.reset();
    startNext();
}

void CallerConnection::startNext()
{
    if (isParsing_ || evbuffer_get_length(bufferevent_get_input(stream_)) == 0) {
        return;
    }
    resume_ = server_.loop().callAfter(Duration::zero(), [this] { parseInput(); });
}

void CallerConnection::resumeReading()
{
    if (!isParsing_ && !isEnded_ && !parser_.hasEnded()) {
        startNext();
    }
}

void CallerConnection::close()
{
    if (isEnded_) {
        return;
    }
    server_.closeLingering(std::exchange(stream_, nullptr));
    destroyLater();
}

void CallerConnection::reset()
{
    if (isEnded_) {
        return;
    }
    // The caller must not take what it got for the whole answer.
    setResetOnClose(bufferevent_getfd(stream_), true);
    if (exchange_ != nullptr) {
        exchange_->connection_ = nullptr;
        exchange_.reset();
    }
    destroyLater();
}

void CallerConnection::destroyLater()
{
    isEnded_ = true;
    resume_.reset();
    if (exchange_ != nullptr) {
        exchange_->connection_ = nullptr;
        exchange_.reset();
    }
    if (stream_ != nullptr) {
        bufferevent_disable(stream_, EV_READ | EV_WRITE);
        bufferevent_setcb(stream_, nullptr, nullptr, nullptr, nullptr);
    }
    server_.dropLater(this);
}

void CallerConnection::refuse(const Error &error)
{
    HttpHead head;
    head.status_ = answerOf(error.kind_).httpStatus_;
    head.isKeptAlive_ = false;
    head.framing_ = BodyFraming::Length;
    const std::string body = error.message_ + "\n";
    head.length_ = body.size();
    server_.noteRefused(error);
    send(formatResponseHead(head));
    send(body);
    close();
}

void CallerConnection::onRead(bufferevent * /*stream*/, void *self)
{
    auto &connection = *static_cast<CallerConnection *>(self);
    if (connection.mayRead()) {
        connection.parseInput();
    }
}

bool CallerConnection::mayRead() const
{
    if (isEnded_ || parser_.hasEnded()) {
        return false;
    }
    return exchange_ == nullptr ? unsentBytes() <= maxUnsentBytes
                                : exchange_->body_.size() < bodyBufferBytes;
}

void CallerConnection::onWritten(bufferevent * /*stream*/, void *self)
{
    auto &connection = *static_cast<CallerConnection *>(self);
    if (connection.exchange_ == nullptr && !connection.parser_.isInMessage()) {
        connection.quietSince_ = connection.server_.loop().now();
        connection.startNext();
    }
    if (connection.exchange_ != nullptr && connection.exchange_->listener_ != nullptr) {
        connection.exchange_->listener_->takeDrained();
    }
}

void CallerConnection::onEvent(bufferevent * /*stream*/, short events, void *self)
{
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<CallerConnection *>(self)->loseCaller();
    }
}

void CallerConnection::loseCaller()
{
    if (isEnded_) {
        return;
    }
    const auto exchange = exchange_;
    destroyLater();
    if (exchange != nullptr && exchange->listener_ != nullptr) {
        exchange->listener_->takeCallerGone();
    }
}

void CallerConnection::parseInput()
{
    evbuffer *input = bufferevent_get_input(stream_);
    isParsing_ = true;
    while (mayRead() && evbuffer_get_length(input) > 0) {
        const std::size_t size = evbuffer_get_length(input);
        const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
        if (!parser_.isInMessage()) {
            quietSince_ = server_.loop().now();
        }
        const auto consumed = parser_.parse({ data, size });
        if (isEnded_) {
            break;
        }
        if (consumed.has_error()) {
            isParsing_ = false;
            if (isHandedOver_) {
                server_.noteRefused(consumed.error());
                loseCaller();
            } else {
                refuse(consumed.error());
            }
            return;
        }
        if (consumed.value() == 0) {
            break;
        }
        evbuffer_drain(input, consumed.value());
    }
    isParsing_ = false;
    if (!isEnded_ && exchange_ != nullptr) {
        handOver();
    }
}

void CallerConnection::handOver()
{
    if (isHandedOver_) {
        if (exchange_->listener_ != nullptr) {
            exchange_->listener_->takeMoreBody();
        }
        return;
    }
    if (!exchange_->isBodyComplete_ && exchange_->body_.size() < bodyBufferBytes) {
        return;
    }
    isHandedOver_ = true;
    server_.handle(exchange_);
}

void CallerConnection::takeHead(HttpHead head)
{
    if (head.framing_ == BodyFraming::Length && head.length_ > server_.limits().bodyBytes_) {
        isClosing_ = true;
    }
    if (head.framing_ != BodyFraming::None
        && head.headers_.find("Expect").value_or("") == "100-continue") {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    exchange_ = std::make_shared<CallerExchange>(*this, std::move(head), server_.loop().now());
}

void CallerConnection::takeBody(std::string_view data)
{
    if (exchange_ != nullptr) {
        exchange_->body_.append(data);
    }
}

void CallerConnection::takeEnd()
{
    if (exchange_ != nullptr) {
        exchange_->isBodyComplete_ = true;
    }
}

} // namespace qz
