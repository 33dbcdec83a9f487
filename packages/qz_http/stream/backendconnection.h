// One connection to a backend server, with one request at a time on it.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/stream/httpstreamparser.h"

#include <cstdint>
#include <string>
#include <string_view>

struct bufferevent;

namespace qz {

/// What the user of a connection is told. Only takeAnswerEnd() and takeFailure() may destroy
/// the connection.
class BackendConnectionListener
{
public:
    BackendConnectionListener() = default;
    BackendConnectionListener(const BackendConnectionListener &) = delete;
    BackendConnectionListener &operator=(const BackendConnectionListener &) = delete;
    virtual ~BackendConnectionListener() = default;

    virtual void takeConnected() = 0;
    virtual void takeAnswerHead(HttpHead head) = 0;
    virtual void takeAnswerBody(std::string_view data) = 0;
    virtual void takeAnswerEnd() = 0;
    /// The connection has failed and is of no further use: BackendConnectFailed if it never
    /// stood, BackendTimeout if the peer went silent, BackendCut, or AnswerMismatch for bytes
    /// that are no answer.
    virtual void takeFailure(const Error &error) = 0;
    /// What was sent has left the buffer.
    virtual void takeSendDrained() = 0;
};

/// Connects by itself when it is made. Nothing is ever sent again by it.
///
/// Invariant: isHandedOver() is false exactly as long as no byte of the current request was
/// given to the socket's buffer of a connection that stood.
/// @see BackendPool
class BackendConnection : private HttpMessageSink
{
public:
    /// Connects to @p server. Silence of the peer for @p silenceLimit ends the connection.
    BackendConnection(EventLoop &loop, const Endpoint &server, Duration silenceLimit);
    ~BackendConnection() override;

    /// @p listener may be null: what comes then closes the connection for good.
    void setListener(BackendConnectionListener *listener) { listener_ = listener; }

    bool isConnected() const { return isConnected_; }
    bool isHandedOver() const { return isHandedOver_; }

    /// Sends the start of a request. Only when connected and not in use.
    void sendHead(const HttpHead &head);
    void sendBody(std::string_view data);
    void endRequest();
    std::size_t unsentBytes() const;

    /// Drops what was received of the current answer, which belongs to another request, and
    /// waits for the next one. Only a few small answers are skipped: after that the connection
    /// fails with AnswerMismatch.
    void skipAnswer() { isSkipping_ = true; }

    /// Ends the connection with AnswerMismatch, after the call in progress.
    void rejectAnswer(const std::string &reason) { rejection_ = reason; }

    /// Stops or goes on reading, for back pressure. The end of the answer resumes reading.
    void setReading(bool isReading);

    /// May carry another request: the last answer has ended, nothing came after it, and both
    /// sides keep the connection.
    bool isReusable() const;

    /// When the last request ended.
    TimePoint idleSince() const { return idleSince_; }
    /// How long the server keeps an idle connection, as far as it said.
    Duration keepAliveTime() const { return keepAliveTime_; }

private:
    static void onRead(bufferevent *stream, void *self);
    static void onWritten(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short events, void *self);

    void takeHead(HttpHead head) override;
    void takeBody(std::string_view data) override;
    void takeEnd() override;

    void parseInput();
    /// Lets the limit of silence run from the last sign of the server while it reads nothing.
    void checkSilence();
    void fail(ErrorKind kind, const std::string &reason);

    EventLoop &loop_;
    const Endpoint server_;
    const Duration silenceLimit_;
    bufferevent *stream_;
    Timers::HandlePtr silenceTimer_; ///< Set while a request is under way.
    HttpStreamParser parser_;
    BackendConnectionListener *listener_ = nullptr;
    BodyFraming sentFraming_ = BodyFraming::None;
    TimePoint idleSince_;
    Duration keepAliveTime_{ 0 };
    bool isConnected_ = false;
    bool isHandedOver_ = false;
    bool isRequestEnded_ = true;
    bool isAnswerKeptAlive_ = true;
    bool isSkipping_ = false;
    bool isFailed_ = false;
    int skippedAnswers_ = 0;       ///< Of the current request.
    std::size_t skippedBytes_ = 0; ///< Of the bodies of these answers.
    std::string rejection_;        ///< Why the answer is rejected; empty: it is not.
};

} // namespace qz
