// Message heads as text.
#include "qz_http/stream/httphead.h"

#include <array>
#include <cstdio>

namespace qz {

namespace {

std::string_view reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void appendFields(std::string &text, const HttpHead &head)
{
    for (const HttpHeader &header : head.headers_.all()) {
        if (isHopByHop(header.name_) || equalsIgnoringCase(header.name_, "Content-Length")) {
            continue;
        }
        text.append(header.name_).append(": ").append(header.value_).append("\r\n");
    }
    if (head.framing_ == BodyFraming::Length) {
        text.append("Content-Length: ").append(std::to_string(head.length_)).append("\r\n");
    } else if (head.framing_ == BodyFraming::Chunked) {
        text.append("Transfer-Encoding: chunked\r\n");
    }
    if (!head.isKeptAlive_) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n");
}

} // namespace

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClose:
        break;
    }
    return "until-close";
}

std::string formatRequestHead(const HttpHead &head)
{
    std::string text;
    text.reserve(512);
    text.append(head.method_).append(" ").append(head.target_).append(" HTTP/1.1\r\n");
    appendFields(text, head);
    return text;
}

std::string formatResponseHead(const HttpHead &head)
{
    std::string text;
    text.reserve(512);
    text.append("HTTP/1.1 ").append(std::to_string(head.status_)).append(" ");
    text.append(reasonOf(head.status_)).append("\r\n");
    appendFields(text, head);
    return text;
}

std::string formatChunk(std::string_view data)
{
    std::array<char, 24> size{};
    const int count = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string chunk(size.data(), static_cast<std::size_t>(count));
    chunk.append(data).append("\r\n");
    return chunk;
}

} // namespace qz
