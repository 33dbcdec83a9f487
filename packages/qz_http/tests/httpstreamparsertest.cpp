// Tests of messages that come in pieces, and of those that must be refused.
#include "qz_http/stream/httpstreamparser.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

namespace {

constexpr std::size_t headLimit = 1024;

/// Keeps the messages of a parser.
class Messages : public qz::HttpMessageSink
{
public:
    struct Message
    {
        qz::HttpHead head_;
        std::string body_;
        bool hasEnded_ = false;
    };

    explicit Messages(qz::HttpRole role)
        : parser_(role, *this, headLimit)
    {
    }

    /// Feeds @p text by @p step bytes; false once the parser has failed.
    bool feed(const std::string &text, std::size_t step)
    {
        std::size_t at = 0;
        while (at < text.size()) {
            const std::size_t size = std::min(step, text.size() - at);
            pending_.append(text, at, size);
            at += size;
            if (!parsePending()) {
                return false;
            }
        }
        return true;
    }

    std::vector<Message> messages_;
    std::optional<qz::Error> error_;
    qz::HttpStreamParser parser_;

private:
    bool parsePending()
    {
        while (!pending_.empty()) {
            const auto consumed = parser_.parse(pending_);
            if (consumed.has_error()) {
                error_ = consumed.error();
                return false;
            }
            pending_.erase(0, consumed.value());
            if (parser_.hasEnded()) {
                parser_.reset();
            } else if (consumed.value() == 0) {
                return true;
            }
        }
        return true;
    }

    void takeHead(qz::HttpHead head) override
    {
        messages_.push_back({ std::move(head), "", false });
    }
    void takeBody(std::string_view data) override { messages_.back().body_.append(data); }
    void takeEnd() override { messages_.back().hasEnded_ = true; }

    std::string pending_;
};

constexpr std::size_t steps[] = { 1, 2, 3, 7, 1000 };

} // namespace

BOOST_AUTO_TEST_CASE(requestsComeWholeInPiecesOfAnySize)
{
    const std::string text =
            "POST /a/b?x=1&y=%20z?q HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
            "GET /c? HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nX-Trim:  v w \r\n\r\n"
            "PUT /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\n";
    for (const std::size_t step : steps) {
        Messages messages(qz::HttpRole::Request);
        BOOST_TEST(messages.feed(text, step));
        BOOST_REQUIRE(messages.messages_.size() == 3);
        BOOST_TEST(messages.messages_[0].head_.method_ == "POST");
        BOOST_TEST(messages.messages_[0].head_.target_ == "/a/b?x=1&y=%20z?q");
        BOOST_TEST(messages.messages_[0].body_ == "hello");
        BOOST_TEST(messages.messages_[1].head_.target_ == "/c?");
        BOOST_TEST(messages.messages_[1].head_.headers_.find("X-Trim").value() == "v w");
        BOOST_TEST(messages.messages_[1].head_.headers_.find("X-Empty").value() == "");
        BOOST_TEST(messages.messages_[2].body_ == "helloabc");
        BOOST_TEST(messages.messages_[2].hasEnded_);
    }
}

BOOST_AUTO_TEST_CASE(answersEndByLengthChunksOrTheEndOfTheConnection)
{
    for (const std::size_t step : steps) {
        Messages messages(qz::HttpRole::Response);
        BOOST_TEST(messages.feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
                                 "HTTP/1.1 204 No Content\r\n\r\n"
                                 "HTTP/1.1 100 Continue\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "2\r\nde\r\n0\r\n\r\n"
                                 "HTTP/1.1 503 Full\r\n\r\nuntil the end",
                                 step));
        BOOST_REQUIRE(messages.messages_.size() == 4);
        BOOST_TEST(messages.messages_[0].body_ == "abc");
        BOOST_TEST(messages.messages_[1].head_.status_ == 204);
        BOOST_TEST(messages.messages_[2].body_ == "de");
        BOOST_TEST(messages.messages_[3].body_ == "until the end");
        BOOST_TEST(!messages.messages_[3].hasEnded_);
        BOOST_TEST(!messages.messages_[3].head_.isKeptAlive_);
        BOOST_TEST(messages.parser_.endOfStream());
        BOOST_TEST(messages.messages_[3].hasEnded_);
    }
}

BOOST_AUTO_TEST_CASE(theEndOfTheConnectionDoesNotCompleteAnAnswerWithALength)
{
    Messages messages(qz::HttpRole::Response);
    BOOST_TEST(messages.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 1000));
    BOOST_TEST(!messages.parser_.endOfStream());
    BOOST_TEST(!messages.messages_[0].hasEnded_);
}

BOOST_AUTO_TEST_CASE(ambiguousAndForeignBytesAreRefused)
{
    const char *const requests[] = {
        "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
        "no request at all\r\n\r\n",
    };
    for (const char *text : requests) {
        Messages messages(qz::HttpRole::Request);
        BOOST_TEST(!messages.feed(text, 1000), text);
        BOOST_TEST(messages.messages_.empty());
    }
    const char *const answers[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "garbage",
        "HTTX/1.1 200 OK\r\n\r\n",
    };
    for (const char *text : answers) {
        Messages messages(qz::HttpRole::Response);
        BOOST_TEST(!messages.feed(text, 1), text);
        BOOST_TEST(messages.messages_.empty());
    }
}

BOOST_AUTO_TEST_CASE(aHeadOverTheLimitIsRefused)
{
    Messages messages(qz::HttpRole::Request);
    const std::string filler(headLimit, 'a');
    BOOST_TEST(!messages.feed("GET / HTTP/1.1\r\nHost: h\r\nX: " + filler, 100));
    BOOST_REQUIRE(messages.error_.has_value());
    BOOST_CHECK(messages.error_->kind_ == qz::ErrorKind::RequestTooLarge);
}

BOOST_AUTO_TEST_CASE(headsAreWrittenWithOneFramingAndNoConnectionFields)
{
    qz::HttpHead head;
    head.method_ = "POST";
    head.target_ = "/a?b";
    head.headers_.add("Host", "h");
    head.headers_.add("Connection", "keep-alive");
    head.headers_.add("Content-Length", "77");
    head.framing_ = qz::BodyFraming::Length;
    head.length_ = 5;
    BOOST_TEST(qz::formatRequestHead(head)
               == "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST(qz::formatChunk(std::string(17, 'x')) == "11\r\n" + std::string(17, 'x') + "\r\n");
}
