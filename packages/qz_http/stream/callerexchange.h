// One request of a caller and the one answer it gets, both streamed.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_http/stream/httphead.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace qz {

class CallerConnection;

/// What a request's owner is told after it has taken the request.
class CallerExchangeListener
{
public:
    CallerExchangeListener() = default;
    CallerExchangeListener(const CallerExchangeListener &) = delete;
    CallerExchangeListener &operator=(const CallerExchangeListener &) = delete;
    virtual ~CallerExchangeListener() = default;

    /// More of the body is in the exchange, or its end has come.
    virtual void takeMoreBody() = 0;
    /// What was sent to the caller has left the buffer.
    virtual void takeDrained() = 0;
    /// The caller's connection has ended before the answer did. The exchange is closed.
    virtual void takeCallerGone() = 0;
};

/// A request that is answered once: by reply(), or by startReply(), sendBody() and
/// endReply(), or by cut(). It may outlive the caller's connection; what is sent then goes
/// nowhere.
/// @see CallerServer
class CallerExchange
{
public:
    CallerExchange(CallerConnection &connection, HttpHead head, TimePoint arrivedAt);

    const HttpHead &head() const { return head_; }
    TimePoint arrivedAt() const { return arrivedAt_; }

    /// The body received so far and not taken by takeBody().
    const std::string &body() const { return body_; }
    std::string takeBody();
    bool isBodyComplete() const { return isBodyComplete_; }

    /// Sends an answer with a whole body.
    void reply(HttpHead head, std::string_view body);

    /// Sends a head whose framing says how the body will come.
    void startReply(HttpHead head);
    void sendBody(std::string_view data);
    void endReply();

    /// Ends the connection without completing the answer.
    void cut();

    bool isOpen() const { return connection_ != nullptr; }
    bool hasReplyStarted() const { return hasReplyStarted_; }

    /// Bytes of the answer that wait for the caller.
    std::size_t unsentBytes() const;

    /// @p listener outlives the exchange or is taken back with nullptr.
    void setListener(CallerExchangeListener *listener) { listener_ = listener; }

private:
    friend class CallerConnection;

    CallerConnection *connection_; ///< Null once the answer is complete or the caller gone.
    HttpHead head_;
    const TimePoint arrivedAt_;
    std::string body_;
    bool isBodyComplete_ = false;
    bool hasReplyStarted_ = false;
    BodyFraming replyFraming_ = BodyFraming::None;
    CallerExchangeListener *listener_ = nullptr;
};

} // namespace qz
