// Tests of messages that come in pieces, and of those that must be refused.
#include "qz_http/stream/httpstreamparser.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>
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

    explicit Messages(qz::HttpRole role, std::size_t limit = headLimit)
        : parser_(role, *this, limit)
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

// Guards against a body that is lost because the name of its coding is spelled in another way.
BOOST_AUTO_TEST_CASE(fieldsThatDecideALengthAreReadInAnySpelling)
{
    const std::string chunks = "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    const std::pair<std::string, std::string> bodies[] = {
        { "Transfer-Encoding: chunked", chunks },
        { "Transfer-Encoding: Chunked", chunks },
        { "Transfer-Encoding: CHUNKED", chunks },
        { "transfer-encoding:chunked", chunks },
        { "Transfer-Encoding: chunked ", chunks },
        { "Transfer-Encoding: chunked\t ", chunks },
        { "Transfer-Encoding:\tchunked", chunks },
        { "TRANSFER-ENCODING:  chUnked", chunks },
        { "Content-Length:5", "hello" },
        { "Content-Length:\t5", "hello" },
        { "CONTENT-LENGTH: \t 5", "hello" },
        { "content-length: 5\t", "hello" },
        { "Content-Length: 0000000005 ", "hello" },
    };
    for (const auto &[field, body] : bodies) {
        for (const std::size_t step : steps) {
            Messages requests(qz::HttpRole::Request);
            std::string rest = "\r\nHost: h\r\n";
            rest.append(field).append("\r\nX: y\r\n\r\n").append(body);
            std::string text = "POST / HTTP/1.1" + rest;
            text.append("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            BOOST_TEST_INFO(field);
            BOOST_TEST(requests.feed(text, step));
            BOOST_REQUIRE(requests.messages_.size() == 2);
            BOOST_TEST(requests.messages_[0].body_ == "hello");
            BOOST_TEST(requests.messages_[1].head_.target_ == "/2");
            Messages answers(qz::HttpRole::Response);
            BOOST_TEST(answers.feed("HTTP/1.1 200 OK" + rest, step));
            BOOST_REQUIRE(answers.messages_.size() == 1);
            BOOST_TEST(answers.messages_[0].body_ == "hello");
            BOOST_TEST(answers.messages_[0].hasEnded_);
        }
    }
}

// Guards against fields of which two readers make different lengths.
BOOST_AUTO_TEST_CASE(fieldsThatDecideNoClearLengthAreRefused)
{
    for (const std::string field : {
                 "Content-Length: +5",
                 "Content-Length: -5",
                 "Content-Length: 5, 5",
                 "Content-Length: 0x5",
                 "Content-Length: 5 5",
                 "Content-Length:",
                 "Content-Length: 18446744073709551621",
                 "Content-Length: 5\r\ncontent-length: 5",
                 "Transfer-Encoding: gzip, chunked",
                 "Transfer-Encoding: chunked, chunked",
                 "Transfer-Encoding: chunked;q=1",
                 "Transfer-Encoding: xchunked",
                 "Transfer-Encoding:",
                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                 "Transfer-Encoding: CHUNKED\r\nContent-Length: 5",
                 "Content-Length: 5\r\nTransfer-Encoding: identity",
         }) {
        const std::string fields = "\r\nHost: h\r\n" + field + "\r\n\r\n";
        for (const std::size_t step : steps) {
            BOOST_TEST_INFO(field);
            Messages requests(qz::HttpRole::Request);
            BOOST_TEST(!requests.feed("POST / HTTP/1.1" + fields + "hello", step));
            BOOST_TEST(requests.messages_.empty());
            for (const std::string status : { "200 OK", "204 No Content" }) {
                Messages answers(qz::HttpRole::Response);
                std::string text = "HTTP/1.1 ";
                text.append(status).append(fields).append("hello");
                BOOST_TEST(!answers.feed(text, step));
                BOOST_TEST(answers.messages_.empty());
            }
        }
    }
}

// Guards against chunks that another recipient reads with another length.
BOOST_AUTO_TEST_CASE(chunksThatAreNoneAreRefused)
{
    for (const std::string body : {
                 "5 \r\nhello\r\n0\r\n\r\n",
                 "0x5\r\nhello\r\n0\r\n\r\n",
                 "-5\r\nhello\r\n0\r\n\r\n",
                 "\r\n5\r\nhello\r\n0\r\n\r\n",
                 "10000000000000005\r\nhello\r\n0\r\n\r\n",
                 "5\nhello\n0\n\n",
                 "5\r\nhello0\r\n\r\n",
                 "5\r\nhello\r\n0\r\nX : y\r\n\r\n",
                 "5\r\nhello\r\n0\r\nContent-Length: 9\r\n\r\n",
         }) {
        for (const std::size_t step : steps) {
            BOOST_TEST_INFO(body);
            Messages answers(qz::HttpRole::Response);
            BOOST_TEST(!answers.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
                                             + std::string(headLimit, ' '),
                                     step));
            BOOST_TEST((answers.messages_.empty() || !answers.messages_[0].hasEnded_));
        }
    }
}

BOOST_AUTO_TEST_CASE(extensionsOfChunksAndTrailersAreReadOver)
{
    const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "2;a=b\r\nhe\r\n03 ; name=\"a;b\";c\r\nllo\r\n000;last\r\n"
                             "X-Trailer: y\r\nHost: i\r\n\r\n"
                             "PUT /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "0\r\n\r\n";
    for (const std::size_t step : steps) {
        Messages messages(qz::HttpRole::Request);
        BOOST_TEST(messages.feed(text, step));
        BOOST_REQUIRE(messages.messages_.size() == 2);
        BOOST_TEST(messages.messages_[0].body_ == "hello");
        BOOST_TEST(messages.messages_[0].head_.headers_.all().size() == 2);
        BOOST_TEST(messages.messages_[1].body_.empty());
        BOOST_TEST(messages.messages_[1].hasEnded_);
    }
}

// Guards against a length or a coding that the next recipient reads and the parser does not, which
// makes a request out of a body.
BOOST_AUTO_TEST_CASE(linesThatAreNoFieldsAreRefused)
{
    const std::string lines[] = {
        "Content-Length : 5",
        "Transfer-Encoding : chunked",
        "Content-Length\t: 5",
        std::string("Content-Length\0: 5", 18),
        "\"Content-Length\": 5",
        " Content-Length: 5",
        "\tContent-Length: 5",
        "X-Field: v\r\n Content-Length: 5",
        "X-Field:\r\n\tTransfer-Encoding: chunked",
        "Content-Length: \r\n 5",
        "X-Field: v\nContent-Length: 5",
        "X-Field: v\rContent-Length: 5",
        "X-Field: v\x01",
        std::string("X-Field: a\0b", 12),
        "X-Field: \x7f",
        "Content-Length",
        ": 5",
        "X(y): 5",
    };
    for (const std::string &line : lines) {
        for (const std::size_t step : steps) {
            for (const bool isFirst : { true, false }) {
                std::string fields = isFirst ? line : "Host: h";
                fields.append("\r\n").append(isFirst ? "Host: h" : line).append("\r\n\r\nhello");
                BOOST_TEST_INFO(line << " first: " << isFirst);
                Messages requests(qz::HttpRole::Request);
                BOOST_TEST(!requests.feed("POST / HTTP/1.1\r\n" + fields, step));
                BOOST_TEST(requests.messages_.empty());
                Messages answers(qz::HttpRole::Response);
                BOOST_TEST(!answers.feed("HTTP/1.1 200 OK\r\n" + fields, step));
                BOOST_TEST(answers.messages_.empty());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(longFieldsAndTargetsWithinTheLimitAreTaken)
{
    Messages messages(qz::HttpRole::Request, 20000);
    const std::string value(9000, 'v');
    const std::string target = "/" + std::string(9000, 't');
    BOOST_TEST(messages.feed("GET " + target + " HTTP/1.1\r\nHost: h\r\nX: " + value + "\r\n\r\n",
                             999));
    BOOST_REQUIRE(messages.messages_.size() == 1);
    BOOST_TEST(messages.messages_[0].head_.target_ == target);
    BOOST_TEST(messages.messages_[0].head_.headers_.find("X").value() == value);
}

// Guards against one head made of two answers, of which the first was broken off.
BOOST_AUTO_TEST_CASE(answerBehindAPieceOfAnotherOneIsRefused)
{
    const std::string first = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: 1\r\n"
                              "Content-Length: 5\r\n\r\n";
    const std::string second =
            "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t size = 1; size < first.size(); ++size) {
        for (const std::size_t step : steps) {
            BOOST_TEST_INFO("bytes of the piece: " << size);
            Messages answers(qz::HttpRole::Response);
            BOOST_TEST(!answers.feed(first.substr(0, size) + second, step));
            BOOST_TEST(answers.messages_.empty());
        }
    }
    Messages others(qz::HttpRole::Response);
    BOOST_TEST(others.feed("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, 1.1 other\r\n"
                           "Upgrade: HTTP/2.0\r\nContent-Length: 0\r\n\r\n",
                           1000));
    BOOST_TEST(others.messages_.size() == 1);
}

// Guards against a peer that sends bytes without end where a line ends: nothing may be kept of them
// beyond the limit of a head.
BOOST_AUTO_TEST_CASE(linesWithoutEndAreRefusedAtTheLimit)
{
    const std::string coding = "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> floods[] = {
        { "X-Field: ", "x" },                   // A field.
        { "", "X-Field: y\r\n" },               // Fields.
        { coding, "0" },                        // The size of a chunk.
        { coding + "5\r\nhello\r\n", "0" },     // The size of a later chunk.
        { coding + "5;name=", "x" },            // The extension of a chunk.
        { coding + "5\r\nhello\r\n0;n=", "x" }, // The extension of the last chunk.
        { coding + "0\r\nX-Field: ", "x" },     // A trailer field.
        { coding + "0\r\n", "X-Field: y\r\n" }, // Trailer fields.
    };
    for (const std::string start : { "POST / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n" }) {
        const bool isRequest = start[0] == 'P';
        for (const auto &[head, piece] : floods) {
            std::string flood;
            while (flood.size() < 4 * headLimit) {
                flood += piece;
            }
            for (const std::size_t step : steps) {
                BOOST_TEST_INFO(start << head << piece);
                Messages messages(isRequest ? qz::HttpRole::Request : qz::HttpRole::Response);
                BOOST_TEST(messages.feed(start + head, step));
                BOOST_TEST(!messages.feed(flood, step));
                BOOST_REQUIRE(messages.error_.has_value());
                BOOST_CHECK(messages.error_->kind_ == qz::ErrorKind::RequestTooLarge);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(targetsInAbsoluteFormNameTheirHost)
{
    const std::pair<std::string, std::string> targets[] = {
        { "http://other:81/p?q", "/p?q" },
        { "HTTP://other:81", "/" },
        { "http://other:81?q", "/?q" },
    };
    for (const auto &[target, origin] : targets) {
        Messages messages(qz::HttpRole::Request);
        BOOST_TEST(messages.feed("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n", 1000));
        BOOST_REQUIRE(messages.messages_.size() == 1);
        BOOST_TEST(messages.messages_[0].head_.target_ == origin);
        BOOST_TEST(messages.messages_[0].head_.headers_.find("Host").value() == "other:81");
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

// Guards against an answer of a server in trouble, with a status that is none, that reaches a
// caller.
BOOST_AUTO_TEST_CASE(onlyStatusesFrom100To599AreStatuses)
{
    for (const std::string status :
         { "000", "001", "099", "600", "999", "20", "2000", "-20", "2x0" }) {
        Messages messages(qz::HttpRole::Response);
        BOOST_TEST(!messages.feed("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok", 1000),
                   status);
        BOOST_TEST(messages.messages_.empty());
    }
    for (const std::string status : { "200", "299", "499", "599" }) {
        Messages messages(qz::HttpRole::Response);
        BOOST_TEST(messages.feed("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok", 1000),
                   status);
        BOOST_TEST(messages.messages_.size() == 1);
    }
}
