// HTTP/1.1 messages from a stream of bytes, piece by piece, by Boost.Beast's parser.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_http/stream/httphead.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace qz {

/// Takes the parts of one message in order: head, body pieces, end.
class HttpMessageSink
{
public:
    HttpMessageSink() = default;
    HttpMessageSink(const HttpMessageSink &) = delete;
    HttpMessageSink &operator=(const HttpMessageSink &) = delete;
    virtual ~HttpMessageSink() = default;

    virtual void takeHead(HttpHead head) = 0;
    virtual void takeBody(std::string_view data) = 0;
    virtual void takeEnd() = 0;
};

enum class HttpRole : std::uint8_t { Request, Response };

/// Parses one message after another. A head has one reading: the fields that the sink gets are
/// those that decided where the body ends. A message whose length is ambiguous is an error.
///
/// Memory: nothing is kept of a body, and of a head, a chunk's head or a trailer no more than the
/// limit. Trailer fields are dropped.
///
/// Invariant: no byte after the end of a message is consumed by the call that ended it, so
/// that the owner decides whether the connection carries another message.
/// @see HttpHead
class HttpStreamParser
{
public:
    /// @p sink must outlive the parser; a call to it must not destroy the parser.
    HttpStreamParser(HttpRole role, HttpMessageSink &sink, std::size_t headLimitBytes);
    ~HttpStreamParser();
    HttpStreamParser(const HttpStreamParser &) = delete;
    HttpStreamParser &operator=(const HttpStreamParser &) = delete;

    /// Parses @p data up to the end of the current message; the number of bytes consumed. What is
    /// not consumed must be given again with more bytes: the part of a head that is not whole yet,
    /// or of a chunk's head or a trailer.
    /// Errors: BadRequest for what is no message, RequestTooLarge for a head, a chunk's head or a
    /// trailer over the limit. After an error the parser is of no further use.
    Result<std::size_t> parse(std::string_view data);

    /// Tells the parser that the peer ended its side in order. True if that ends the message.
    bool endOfStream();

    /// Prepares for the next message. The answer to a HEAD request has no body.
    void reset(bool isHeadAnswer = false);

    /// A message has begun and has not ended.
    bool isInMessage() const { return hasBegun_ && !hasEnded_; }
    bool hasHead() const { return hasHead_; }
    bool hasEnded() const { return hasEnded_; }

private:
    struct Native;

    Result<bool> checkHeadBytes(std::string_view data);
    Result<std::size_t> parseHead(std::string_view data);
    Result<std::size_t> parseBody(std::string_view data);
    Result<void> finishHead();
    Result<void> decideFraming();

    const HttpRole role_;
    HttpMessageSink &sink_;
    const std::size_t headLimitBytes_;
    std::unique_ptr<Native> native_;
    HttpHead head_;
    bool hasBegun_ = false;
    bool hasHead_ = false;
    bool hasEnded_ = false;
    bool hasSkippedLine_ = false; ///< An empty line ahead of a request.
    bool isHeadRequest_ = false;  ///< The answer is that to a HEAD request.
    int interimCount_ = 0;        ///< Interim answers (1xx) before the current one.
};

} // namespace qz
