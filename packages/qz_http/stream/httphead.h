// The start of an HTTP message: everything before its body.
#pragma once

#include "qz_http/messages/httpmessages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace qz {

/// How the end of a body is told.
enum class BodyFraming : std::uint8_t {
    None,       ///< There is no body.
    Length,     ///< By its length.
    Chunked,    ///< By a last chunk.
    UntilClose, ///< By the end of the connection; answers only.
};

/// The name of @p framing, for logs.
std::string_view toString(BodyFraming framing);

/// The start line and the header fields of a request or an answer.
/// @see HttpStreamParser
struct HttpHead
{
    std::string method_ = "GET"; ///< Requests only.
    std::string target_ = "/";   ///< Requests only: path and query as on the request line.
    int status_ = 0;             ///< Answers only.
    HttpHeaders headers_;
    bool isKeptAlive_ = true; ///< The sender lets the connection carry another message.
    bool isHttp11_ = true;    ///< The sender understands chunks.
    BodyFraming framing_ = BodyFraming::None;
    std::uint64_t length_ = 0; ///< Of the body in bytes; only with BodyFraming::Length.
};

/// The request line and header fields of @p head as sent, with the blank line. Fields that
/// belong to one connection must not be among the headers; the framing is added here.
std::string formatRequestHead(const HttpHead &head);

/// The status line and header fields of @p head as sent, with the blank line.
/// @see formatRequestHead
std::string formatResponseHead(const HttpHead &head);

/// @p data as one chunk of a chunked body; @p data must not be empty.
std::string formatChunk(std::string_view data);

/// The end of a chunked body.
constexpr std::string_view lastChunk = "0\r\n\r\n";

/// The path of a request target, without its query.
inline std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace qz
