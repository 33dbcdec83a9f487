// The hooks of libevhtp's parser, and the checks that it leaves out.
#include "qz_http/stream/httpstreamparser.h"

#include "qz_http/server/requestcheck.h"

#include <evhtp/parser.h>

#include <cstdlib>
#include <utility>

namespace qz {

namespace {

constexpr int goOn = 0;
constexpr int stopParsing = -1;

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/// Interim answers (1xx) to one request; more come only from a server that never ends them.
constexpr int maxInterimAnswers = 8;

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view answerStart = "HTTP/1.";

std::string trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(blanks) - first + 1));
}

} // namespace

struct HttpStreamParser::Native
{
    Native()
        : parser_(htparser_new())
    {
    }
    ~Native() { std::free(parser_); }
    Native(const Native &) = delete;
    Native &operator=(const Native &) = delete;

    htparser *parser_;
};

/// Hooks in the order in which they run for a message.
struct HttpStreamParser::Hooks
{
    static HttpStreamParser &self(htparser *parser)
    {
        return *static_cast<HttpStreamParser *>(htparser_get_userdata(parser));
    }

    static int onMethod(htparser *parser, const char *data, std::size_t size)
    {
        self(parser).head_.method_.assign(data, size);
        return goOn;
    }

    static int onPath(htparser *parser, const char *data, std::size_t size)
    {
        self(parser).head_.target_.assign(data, size);
        return goOn;
    }

    static int onQuery(htparser *parser, const char *data, std::size_t size)
    {
        self(parser).head_.target_.append("?").append(data, size);
        return goOn;
    }

    static int onKey(htparser *parser, const char *data, std::size_t size)
    {
        self(parser).key_.assign(data, size);
        return goOn;
    }

    static int onValue(htparser *parser, const char *data, std::size_t size)
    {
        auto &owner = self(parser);
        owner.head_.headers_.add(std::move(owner.key_), trimmed({ data, size }));
        owner.key_.clear();
        return goOn;
    }

    static int onHeadEnd(htparser *parser)
    {
        auto &owner = self(parser);
        owner.finishHead();
        // A body that the parser does not know of is read by the owner.
        const bool isOwnFraming =
                owner.head_.framing_ == BodyFraming::UntilClose || owner.hasNoBody_;
        return owner.problem_ || isOwnFraming || owner.isInterim_ ? stopParsing : goOn;
    }

    static int onBody(htparser *parser, const char *data, std::size_t size)
    {
        auto &owner = self(parser);
        if (size > 0) {
            owner.sink_.takeBody({ data, size });
        }
        return goOn;
    }

    static int onEnd(htparser *parser)
    {
        auto &owner = self(parser);
        owner.hasEnded_ = true;
        return stopParsing;
    }

    static htparse_hooks make()
    {
        htparse_hooks hooks{};
        hooks.method = &Hooks::onMethod;
        hooks.path = &Hooks::onPath;
        hooks.args = &Hooks::onQuery;
        hooks.hdr_key = &Hooks::onKey;
        hooks.hdr_val = &Hooks::onValue;
        hooks.on_hdrs_complete = &Hooks::onHeadEnd;
        hooks.body = &Hooks::onBody;
        hooks.on_msg_complete = &Hooks::onEnd;
        return hooks;
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
    htparser_init(native_->parser_,
                  role_ == HttpRole::Request ? htp_type_request : htp_type_response);
    htparser_set_userdata(native_->parser_, this);
    head_ = HttpHead();
    hasBegun_ = false;
    hasHead_ = false;
    hasEnded_ = false;
    isHeadRequest_ = isHeadAnswer;
    hasNoBody_ = false;
    isInterim_ = false;
    interimCount_ = 0;
    problem_.reset();
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
    BOOST_OUTCOME_TRY(isWhole, checkHeadBytes(data));
    if (!isWhole) {
        return std::size_t(0);
    }
    // The parser gets the head alone, so that it is clear where the body begins.
    const std::size_t headSize = data.find(headEnd) + headEnd.size();
    BOOST_OUTCOME_TRY(runParser(data.substr(0, headSize)));
    if (!hasHead_) {
        const int interimCount = interimCount_ + 1;
        if (interimCount > maxInterimAnswers) {
            return failure(ErrorKind::BadRequest, "too many interim answers");
        }
        reset(isHeadRequest_);
        interimCount_ = interimCount;
    } else if (hasEnded_) {
        sink_.takeEnd();
    }
    return headSize;
}

Result<std::size_t> HttpStreamParser::parseBody(std::string_view data)
{
    if (head_.framing_ == BodyFraming::UntilClose) {
        sink_.takeBody(data);
        return data.size();
    }
    BOOST_OUTCOME_TRY(consumed, runParser(data));
    if (hasEnded_) {
        sink_.takeEnd();
    }
    return consumed;
}

Result<std::size_t> HttpStreamParser::runParser(std::string_view data)
{
    static htparse_hooks hooks = Hooks::make();
    const std::size_t consumed = htparser_run(native_->parser_, &hooks, data.data(), data.size());
    if (problem_) {
        return *problem_;
    }
    const htpparse_error error = htparser_get_error(native_->parser_);
    if (error != htparse_error_none && error != htparse_error_user) {
        return failure(ErrorKind::BadRequest, htparser_get_strerror(native_->parser_));
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
    // The parser garbles a request line that comes in pieces, so it only gets whole heads.
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

void HttpStreamParser::finishHead()
{
    htparser *parser = native_->parser_;
    head_.isKeptAlive_ = htparser_should_keep_alive(parser) != 0;
    head_.isHttp11_ = htparser_get_minor(parser) > 0;
    if (role_ == HttpRole::Response) {
        head_.status_ = static_cast<int>(htparser_get_status(parser));
        isInterim_ = head_.status_ < firstFinalStatus;
    }
    const auto checked = role_ == HttpRole::Request ? checkHead() : checkAnswerHead();
    if (checked.has_error()) {
        problem_ = checked.error();
        return;
    }
    if (isInterim_) {
        return;
    }
    hasHead_ = true;
    if (hasNoBody_) {
        hasEnded_ = true;
    }
    sink_.takeHead(head_);
}

Result<void> HttpStreamParser::checkHead()
{
    BOOST_OUTCOME_TRY(checkRequestFraming(head_.headers_));
    if (head_.headers_.find("Transfer-Encoding")) {
        head_.framing_ = BodyFraming::Chunked;
    } else if (const auto length = head_.headers_.find("Content-Length")) {
        head_.framing_ = BodyFraming::Length;
        head_.length_ = htparser_get_content_length(native_->parser_);
    }
    return success();
}

Result<void> HttpStreamParser::checkAnswerHead()
{
    const HttpHeaders &headers = head_.headers_;
    const auto coding = headers.find("Transfer-Encoding");
    const std::size_t lengths = headers.count("Content-Length");
    if (lengths > 1 || (lengths == 1 && coding)
        || (coding && !equalsIgnoringCase(*coding, "chunked"))) {
        return failure(ErrorKind::BadRequest, "the length of the answer is ambiguous");
    }
    if (isHeadRequest_ || head_.status_ < firstFinalStatus || head_.status_ == statusNoContent
        || head_.status_ == statusNotModified) {
        head_.framing_ = BodyFraming::None;
        hasNoBody_ = true;
    } else if (coding) {
        head_.framing_ = BodyFraming::Chunked;
    } else if (lengths == 1) {
        head_.framing_ = BodyFraming::Length;
        head_.length_ = htparser_get_content_length(native_->parser_);
    } else {
        head_.framing_ = BodyFraming::UntilClose;
        head_.isKeptAlive_ = false;
    }
    return success();
}

} // namespace qz
