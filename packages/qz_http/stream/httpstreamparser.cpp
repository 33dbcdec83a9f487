// The callbacks of Boost.Beast's parser, and the checks that it leaves out.
#include "qz_http/stream/httpstreamparser.h"

#include "qz_http/server/requestcheck.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace qz {

namespace {

namespace http = boost::beast::http;

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int versionHttp11 = 11;

/// Interim answers (1xx) to one request; more come only from a server that never ends them.
constexpr int maxInterimAnswers = 8;

/// The size of the shortest end of a chunked body. Boost.Beast 1.74 fails an assertion if it
/// resumes within the last chunk with less.
constexpr std::size_t minChunkedEndBytes = 5;

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view answerStart = "HTTP/1.";
constexpr std::size_t statusDigits = 3;

std::string_view toStd(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

/// Returns whether @p text holds a status line, up to its status. In the middle of a head it shows
/// that the server broke off one answer and went on with the next: the fields are then those of
/// both.
bool hasStatusLine(std::string_view text)
{
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    for (std::size_t at = text.find(answerStart); at != std::string_view::npos;
         at = text.find(answerStart, at + 1)) {
        const std::string_view rest = text.substr(at + answerStart.size());
        const std::string_view status = rest.substr(std::min<std::size_t>(2, rest.size()));
        if (rest.size() >= 2 + statusDigits && isDigit(rest[0]) && rest[1] == ' '
            && std::all_of(status.begin(), status.begin() + statusDigits, isDigit)) {
            return true;
        }
    }
    return false;
}

/// Returns the number of the first line of @p head that begins with a blank, from 1 up, or 0.
std::ptrdiff_t findFoldedLine(std::string_view head)
{
    for (std::size_t at = head.find(lineEnd); at != std::string_view::npos;
         at = head.find(lineEnd, at + 1)) {
        const std::size_t next = at + lineEnd.size();
        if (next < head.size() && (head[next] == ' ' || head[next] == '\t')) {
            return std::count(head.begin(), head.begin() + next, '\n') + 1;
        }
    }
    return 0;
}

/// Takes the head into an HttpHead and gives the body to a sink.
template<bool isRequest>
class MessageParser : public http::basic_parser<isRequest>
{
public:
    MessageParser(HttpHead &head, HttpMessageSink &sink, bool isHeadAnswer)
        : head_(head)
        , sink_(sink)
    {
        // The owner bounds heads and bodies.
        this->header_limit(std::numeric_limits<std::uint32_t>::max());
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
        this->eager(true);
        this->skip(isHeadAnswer);
    }

    /// Returns whether the next byte belongs to a chunk's head or to the trailer.
    bool isAtChunkHead() const { return this->chunked() && chunkLeft_ == 0; }

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(http::verb /*method*/, Text method, Text target, int version,
                         ErrorCode & /*error*/) override
    {
        head_.method_ = toStd(method);
        head_.target_ = toStd(target);
        head_.isHttp11_ = version >= versionHttp11;
    }

    void on_response_impl(int status, Text reason, int version, ErrorCode &error) override
    {
        if (!isStatus(status)) {
            error = http::error::bad_status;
        } else if (hasStatusLine(toStd(reason))) {
            error = http::error::bad_reason;
        }
        head_.status_ = status;
        head_.isHttp11_ = version >= versionHttp11;
    }

    void on_field_impl(http::field /*field*/, Text name, Text value, ErrorCode &error) override
    {
        if (!isRequest && hasStatusLine(toStd(value))) {
            error = http::error::bad_value;
        }
        if (!isHeadDone_) {
            head_.headers_.add(std::string(toStd(name)), std::string(toStd(value)));
        }
    }

    void on_header_impl(ErrorCode & /*error*/) override { isHeadDone_ = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           ErrorCode & /*error*/) override
    {
    }

    std::size_t on_body_impl(Text data, ErrorCode & /*error*/) override
    {
        sink_.takeBody(toStd(data));
        return data.size();
    }

    void on_chunk_header_impl(std::uint64_t size, Text /*extensions*/,
                              ErrorCode & /*error*/) override
    {
        chunkLeft_ = size;
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, Text data,
                                   ErrorCode & /*error*/) override
    {
        chunkLeft_ -= data.size();
        sink_.takeBody(toStd(data));
        return data.size();
    }

    void on_finish_impl(ErrorCode & /*error*/) override { }

    HttpHead &head_;
    HttpMessageSink &sink_;
    std::uint64_t chunkLeft_ = 0; ///< Bytes of the current chunk that have not come yet.
    bool isHeadDone_ = false;
};

using RequestParser = MessageParser<true>;
using AnswerParser = MessageParser<false>;

/// Takes the scheme and the authority off a target in absolute form.
void takeOriginForm(HttpHead &head)
{
    constexpr std::string_view scheme = "http://";
    if (!equalsIgnoringCase(std::string_view(head.target_).substr(0, scheme.size()), scheme)) {
        return;
    }
    const std::string rest = head.target_.substr(scheme.size());
    const std::size_t authoritySize = std::min(rest.find_first_of("/?"), rest.size());
    head.headers_.set("Host", rest.substr(0, authoritySize));
    head.target_ = rest.substr(authoritySize);
    if (head.target_.empty() || head.target_.front() != '/') {
        head.target_.insert(0, "/");
    }
}

} // namespace

struct HttpStreamParser::Native
{
    std::variant<std::monostate, RequestParser, AnswerParser> parser_;

    /// Calls @p visitor with the parser of the current message.
    template<typename Visitor>
    auto visit(Visitor visitor)
    {
        auto *const request = std::get_if<RequestParser>(&parser_);
        return request != nullptr ? visitor(*request) : visitor(std::get<AnswerParser>(parser_));
    }

    /// Gives @p data to the parser. Returns the number of bytes consumed.
    std::size_t put(std::string_view data, boost::beast::error_code &error)
    {
        const boost::asio::const_buffer buffer(data.data(), data.size());
        const std::size_t consumed = visit([&](auto &parser) { return parser.put(buffer, error); });
        if (error == http::error::need_more) {
            error = {};
        }
        return consumed;
    }
};

HttpStreamParser::HttpStreamParser(HttpRole role, HttpMessageSink &sink, std::size_t headLimitBytes)
    : role_(role)
    , sink_(sink)
    , headLimitBytes_(headLimitBytes)
    , native_(std::make_unique<Native>())
{
    reset();
}

HttpStreamParser::~HttpStreamParser() = default;

void HttpStreamParser::reset(bool isHeadAnswer)
{
    head_ = HttpHead();
    if (role_ == HttpRole::Request) {
        native_->parser_.emplace<RequestParser>(head_, sink_, false);
    } else {
        native_->parser_.emplace<AnswerParser>(head_, sink_, isHeadAnswer);
    }
    hasBegun_ = false;
    hasHead_ = false;
    hasEnded_ = false;
    hasSkippedLine_ = false;
    isHeadRequest_ = isHeadAnswer;
    interimCount_ = 0;
}

Result<std::size_t> HttpStreamParser::parse(std::string_view data)
{
    std::size_t consumed = 0;
    while (!hasEnded_ && consumed < data.size()) {
        const std::string_view rest = data.substr(consumed);
        BOOST_OUTCOME_TRY(step, hasHead_ ? parseBody(rest) : parseHead(rest));
        if (step == 0) {
            break;
        }
        consumed += step;
    }
    return consumed;
}

Result<std::size_t> HttpStreamParser::parseHead(std::string_view data)
{
    const bool isEmptyLine = data.substr(0, lineEnd.size()) == lineEnd;
    if (role_ == HttpRole::Request && isEmptyLine && !hasSkippedLine_) {
        hasSkippedLine_ = true; // RFC 9112, 2.2: one is to be ignored.
        return lineEnd.size();
    }
    BOOST_OUTCOME_TRY(isWhole, checkHeadBytes(data));
    if (!isWhole) {
        return std::size_t(0);
    }
    // The parser gets the head alone, so that it is checked before any of the body is taken.
    const std::size_t headSize = data.find(headEnd) + headEnd.size();
    const std::string_view head = data.substr(0, headSize);
    if (const auto folded = findFoldedLine(head)) {
        return failure(ErrorKind::BadRequest,
                       "line " + std::to_string(folded) + " of the head: folded");
    }
    boost::beast::error_code error;
    const std::size_t consumed = native_->put(head, error);
    if (error) {
        const auto line = std::count(data.begin(), data.begin() + consumed, '\n') + 1;
        return failure(ErrorKind::BadRequest,
                       "line " + std::to_string(line) + " of the head: " + error.message());
    }
    BOOST_OUTCOME_TRY(finishHead());
    return headSize;
}

Result<std::size_t> HttpStreamParser::parseBody(std::string_view data)
{
    if (head_.framing_ == BodyFraming::UntilClose) {
        sink_.takeBody(data);
        return data.size();
    }
    const bool isAtChunkHead = native_->visit([](auto &parser) { return parser.isAtChunkHead(); });
    if (isAtChunkHead && data.size() < minChunkedEndBytes) {
        return std::size_t(0);
    }
    boost::beast::error_code error;
    const std::size_t consumed = native_->put(data, error);
    if (error) {
        return failure(ErrorKind::BadRequest, "the body: " + error.message());
    }
    if (consumed == 0 && data.size() > headLimitBytes_) {
        return failure(ErrorKind::RequestTooLarge, "a chunk's head or the trailer is too large");
    }
    hasEnded_ = native_->visit([](auto &parser) { return parser.is_done(); });
    if (hasEnded_) {
        sink_.takeEnd();
    }
    return consumed;
}

Result<bool> HttpStreamParser::checkHeadBytes(std::string_view data)
{
    hasBegun_ = true;
    const std::string_view start = data.substr(0, answerStart.size());
    if (role_ == HttpRole::Response && start != answerStart.substr(0, start.size())) {
        return failure(ErrorKind::BadRequest, "the bytes are no HTTP answer");
    }
    const std::size_t end = data.find(headEnd);
    const bool isWhole = end != std::string_view::npos;
    if ((isWhole ? end : data.size()) > headLimitBytes_) {
        return failure(ErrorKind::RequestTooLarge, "the header fields are too large");
    }
    return isWhole;
}

bool HttpStreamParser::endOfStream()
{
    if (!hasHead_ || hasEnded_ || head_.framing_ != BodyFraming::UntilClose) {
        return false;
    }
    hasEnded_ = true;
    sink_.takeEnd();
    return true;
}

Result<void> HttpStreamParser::finishHead()
{
    if (role_ == HttpRole::Request) {
        takeOriginForm(head_);
    }
    BOOST_OUTCOME_TRY(decideFraming());
    if (role_ == HttpRole::Response && head_.status_ < firstFinalStatus) {
        const int interimCount = interimCount_ + 1;
        if (interimCount > maxInterimAnswers) {
            return failure(ErrorKind::BadRequest, "too many interim answers");
        }
        reset(isHeadRequest_);
        interimCount_ = interimCount;
        return success();
    }
    hasHead_ = true;
    hasEnded_ = native_->visit([](auto &parser) { return parser.is_done(); });
    sink_.takeHead(head_);
    if (hasEnded_) {
        sink_.takeEnd();
    }
    return success();
}

Result<void> HttpStreamParser::decideFraming()
{
    BOOST_OUTCOME_TRY(role_ == HttpRole::Request ? checkRequestFraming(head_.headers_)
                                                 : checkFraming(head_.headers_));
    const bool hasCoding = head_.headers_.find("Transfer-Encoding").has_value();
    const bool hasLength = head_.headers_.find("Content-Length").has_value();
    const bool hasNoBody = role_ == HttpRole::Response
            && (isHeadRequest_ || head_.status_ < firstFinalStatus
                || head_.status_ == statusNoContent || head_.status_ == statusNotModified);
    const auto isReadAlike = [&](auto &parser) {
        return parser.chunked() == hasCoding && parser.content_length().has_value() == hasLength;
    };
    if (!native_->visit(isReadAlike)) {
        return failure(ErrorKind::BadRequest, "the length of the message is ambiguous");
    }
    if (hasCoding && !head_.isHttp11_) {
        return failure(ErrorKind::BadRequest, "HTTP/1.0 has no transfer codings");
    }
    head_.isKeptAlive_ = native_->visit([](auto &parser) { return parser.keep_alive(); });
    if (hasNoBody) {
        head_.framing_ = BodyFraming::None;
    } else if (hasCoding) {
        head_.framing_ = BodyFraming::Chunked;
    } else if (hasLength) {
        head_.framing_ = BodyFraming::Length;
        head_.length_ = native_->visit([](auto &parser) { return *parser.content_length(); });
    } else if (role_ == HttpRole::Response) {
        head_.framing_ = BodyFraming::UntilClose;
    }
    return success();
}

} // namespace qz
