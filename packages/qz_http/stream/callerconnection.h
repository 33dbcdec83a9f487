// One connection of a caller: its requests, one after the other.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_http/stream/callerexchange.h"
#include "qz_http/stream/httpstreamparser.h"

#include <memory>
#include <optional>
#include <string_view>

struct bufferevent;

namespace qz {

class CallerServer;

/// Reads requests and sends answers. While an answer is under way further requests wait in
/// the input buffer, which is bounded.
/// @see CallerServer, CallerExchange
class CallerConnection : private HttpMessageSink
{
public:
    CallerConnection(CallerServer &server, int descriptor);
    ~CallerConnection() override;

    // For CallerExchange.
    void send(std::string_view data);
    void finishExchange();
    void closeAfterReply() { isClosing_ = true; }
    void reset();
    void resumeReading();
    bool isKeptAlive() const;
    std::size_t unsentBytes() const;

    // For CallerServer.
    /// Returns whether the connection is open, no request has begun, as far as its bytes have
    /// arrived, and no answer is under way.
    bool isIdle() const;
    bool isBusy() const { return exchange_ != nullptr; }
    TimePoint quietSince() const { return quietSince_; }
    /// Returns since when the body of a request is awaited that has not been handed over, if any.
    std::optional<TimePoint> bodyAwaitedSince() const;
    void close();
    /// Answers with the status of @p error and closes the connection. Only while no request has
    /// been handed over.
    void refuse(const Error &error);

private:
    static void onRead(bufferevent *stream, void *self);
    static void onWritten(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short events, void *self);

    void takeHead(HttpHead head) override;
    void takeBody(std::string_view data) override;
    void takeEnd() override;

    void parseInput();
    void handOver();
    void loseCaller();
    void startNext();
    bool mayRead() const;
    void destroyLater();

    CallerServer &server_;
    bufferevent *stream_;
    HttpStreamParser parser_;
    std::shared_ptr<CallerExchange> exchange_; ///< From the request's head to its answer's end.
    TimePoint quietSince_;     ///< The last request ended, or the next one began, at this time.
    Timers::HandlePtr resume_; ///< Continues with input that is already there.
    bool isHandedOver_ = false;
    bool isClosing_ = false; ///< The connection ends with the current answer.
    bool isParsing_ = false;
    bool isEnded_ = false; ///< Nothing more happens here; the server drops the connection.
};

} // namespace qz
