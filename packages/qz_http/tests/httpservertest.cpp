// Tests of the server against callers that misbehave.
#include "qz_http/server/httpserver.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

constexpr std::size_t bodyLimitBytes = 1000;

/// A server that answers with the target and body of the request, after a delay.
struct EchoServer
{
    explicit EchoServer(qz::Duration delay = 0ms)
        : server_(loop_, qz::HttpServerLimits{ bodyLimitBytes, 1s },
                  [this, delay](const std::shared_ptr<qz::HttpExchange> &exchange) {
                      ++requests_;
                      exchange->setCallerGoneHandler([this] { ++callersGone_; });
                      timers_.push_back(loop_.callAfter(delay, [exchange] {
                          qz::HttpResponse response;
                          const qz::HttpRequest &request = exchange->request();
                          response.body_ = request.target_ + "|" + request.body_;
                          exchange->reply(response);
                      }));
                  })
    {
        BOOST_REQUIRE(server_.listen(endpoint_).has_value());
    }

    std::string exchange(const std::string &bytes)
    {
        RawClient client(loop_, endpoint_);
        client.send(bytes);
        client.awaitEnd(300ms);
        return client.received();
    }

    qz::EventLoop loop_;
    qz::Endpoint endpoint_{ "127.0.0.1", findFreePort() };
    std::vector<qz::Timers::HandlePtr> timers_;
    int requests_ = 0;
    int callersGone_ = 0;
    qz::HttpServer server_;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

const std::string get = "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_CASE(aRequestIsAnsweredAndTheConnectionKept)
{
    EchoServer echo;
    RawClient client(echo.loop_, echo.endpoint_);
    client.send(get);
    client.awaitEnd(100ms);
    client.send(get);
    client.awaitEnd(100ms);
    BOOST_TEST(countOf(client.received(), "/a?b=c|") == 2U);
    BOOST_TEST(!client.hasEnded());
}

BOOST_AUTO_TEST_CASE(aChunkedBodyIsReadWhole)
{
    EchoServer echo;
    const std::string answer =
            echo.exchange("POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(countOf(answer, "/p|abcde") == 1U);
}

// Guards against a body that is lost because the parser does not know the spelling of its coding.
BOOST_AUTO_TEST_CASE(aChunkedBodyOfAnotherSpellingIsReadWholeOrRefused)
{
    for (const std::string coding : { "CHUNKED", "chunked ", "\tchunked", "Chunked" }) {
        EchoServer echo;
        const std::string answer = echo.exchange("POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:"
                                                 + coding + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        const bool isWhole = countOf(answer, "/p|abc") == 1;
        const bool isRefused = countOf(answer, "HTTP/1.1 400") == 1 && echo.requests_ == 0;
        BOOST_TEST((isWhole || isRefused), coding << ": " << answer);
    }
}

// Guards against a head without end that is kept.
BOOST_AUTO_TEST_CASE(aHeadWithoutEndEndsItsConnection)
{
    for (const std::string piece : { "X-Field: value\r\n", "x" }) {
        EchoServer echo;
        RawClient client(echo.loop_, echo.endpoint_);
        client.send("GET /a HTTP/1.1\r\nHost: x\r\nX: ");
        std::string flood;
        while (flood.size() < std::size_t(1024) * 1024) {
            flood += piece;
        }
        client.send(flood);
        client.awaitEnd(500ms);
        BOOST_TEST(client.hasEnded(), piece);
        BOOST_TEST(echo.requests_ == 0);
    }
}

BOOST_DATA_TEST_CASE(aPipelinedRequestIsNeverLeftInSilence, boost::unit_test::data::make({ 0, 50 }),
                     delayMs)
{
    EchoServer echo{ std::chrono::milliseconds(delayMs) };
    RawClient client(echo.loop_, echo.endpoint_);
    client.send(get + get);
    client.awaitEnd(1s);
    const bool isServed = countOf(client.received(), "/a?b=c|") == 2;
    const bool isClosed = client.hasEnded() && countOf(client.received(), "Connection: close") == 1;
    BOOST_TEST((isServed || isClosed), client.received());
}

BOOST_AUTO_TEST_CASE(aRequestThatArrivesBeforeTheAnswerIsNeverLeftInSilence)
{
    EchoServer echo{ 100ms };
    RawClient client(echo.loop_, echo.endpoint_);
    client.send(get);
    client.awaitEnd(30ms);
    client.send(get);
    client.awaitEnd(1s);
    BOOST_TEST(client.hasEnded());
    BOOST_TEST(countOf(client.received(), "Connection: close") == 1U);
    BOOST_TEST(echo.requests_ == 1);
}

BOOST_DATA_TEST_CASE(
        anAmbiguousRequestIsRefusedAndItsConnectionClosed,
        boost::unit_test::data::make(std::vector<std::string>{
                "Host: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Host: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                "Host: x\r\nTransfer-Encoding: gzip\r\n\r\n",
                "Host: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Host: x\r\nHost: y\r\n\r\n",
                "Accept: x\r\n\r\n",
        }),
        fields)
{
    EchoServer echo;
    const std::string answer = echo.exchange("POST /p HTTP/1.1\r\n" + fields);
    BOOST_TEST(countOf(answer, "HTTP/1.1 400") == 1U, answer);
    BOOST_TEST(countOf(answer, "Quetzaldale-Outcome: not-run") == 1U);
    BOOST_TEST(echo.requests_ == 0);
    BOOST_TEST(echo.server_.connectionCount() == 0U);
}

BOOST_DATA_TEST_CASE(aBodyOverTheLimitIsRefused, boost::unit_test::data::make({ true, false }),
                     isChunked)
{
    EchoServer echo;
    const std::string body(bodyLimitBytes + 1, 'a');
    const std::string framing = isChunked
            ? "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + body + "\r\n0\r\n\r\n"
            : "Content-Length: 1001\r\n\r\n" + body;
    const std::string answer = echo.exchange("POST /p HTTP/1.1\r\nHost: x\r\n" + framing);
    BOOST_TEST(countOf(answer, "HTTP/1.1 413") == 1U, answer);
    BOOST_TEST(echo.requests_ == 0);
}

BOOST_DATA_TEST_CASE(
        garbageClosesTheConnectionOnly,
        boost::unit_test::data::make(std::vector<std::string>{
                "\r\n\r\n\r\n",
                "GET\r\n\r\n",
                "GET / HTTP/1.1\nHost: x\n\n",
                "\x16\x03\x01\x02",
                "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(200000, 'a') + "\r\n\r\n",
        }),
        bytes)
{
    EchoServer echo;
    echo.exchange(bytes);
    BOOST_TEST(countOf(echo.exchange(get), "/a?b=c|") == 1U);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesIsNoticedWhileTheAnswerIsWorkedOut)
{
    EchoServer echo{ 1s };
    RawClient client(echo.loop_, echo.endpoint_);
    client.send(get);
    client.awaitEnd(50ms);
    client.close();
    echo.loop_.runFor(50ms);
    BOOST_TEST(echo.callersGone_ == 1);
    BOOST_TEST(echo.server_.openExchangeCount() == 0U);
}

BOOST_AUTO_TEST_CASE(aSlowSenderIsCutOffAfterTheIdleTimeout)
{
    EchoServer echo;
    RawClient client(echo.loop_, echo.endpoint_);
    client.send("GET / HTTP/1.1\r\nHos");
    client.awaitEnd(3s);
    BOOST_TEST(client.hasEnded());
}

BOOST_AUTO_TEST_CASE(closingServersEndEachConnectionAfterItsAnswer)
{
    EchoServer echo{ 50ms };
    RawClient client(echo.loop_, echo.endpoint_);
    client.send(get);
    client.awaitEnd(20ms);
    echo.server_.startClosing();
    client.awaitEnd(1s);
    BOOST_TEST(countOf(client.received(), "/a?b=c|") == 1U);
    echo.server_.closeIdleConnections();
    BOOST_TEST(echo.server_.connectionCount() == 0U);
}
