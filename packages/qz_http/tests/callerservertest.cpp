// Tests of streamed requests and answers on callers' connections.
#include "qz_http/stream/callerserver.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

/// A server that hands its exchanges to a test.
struct Fixture
{
    explicit Fixture(qz::CallerLimits limits = {})
        : server_(loop_, limits, [this](const auto &exchange) {
            exchanges_.push_back(exchange);
            if (handler_) {
                handler_(exchange);
            }
        })
    {
        endpoint_ = { "127.0.0.1", findFreePort() };
        BOOST_REQUIRE(server_.listen(endpoint_).has_value());
    }

    static void answer(const std::shared_ptr<qz::CallerExchange> &exchange, const std::string &body)
    {
        qz::HttpHead head;
        head.status_ = 200;
        exchange->reply(head, body);
    }

    qz::EventLoop loop_;
    std::vector<std::shared_ptr<qz::CallerExchange>> exchanges_;
    std::function<void(const std::shared_ptr<qz::CallerExchange> &)> handler_;
    qz::CallerServer server_;
    qz::Endpoint endpoint_;
};

/// Notes what an exchange tells its owner.
class Listener : public qz::CallerExchangeListener
{
public:
    void takeMoreBody() override { ++moreBody_; }
    void takeDrained() override { }
    void takeCallerGone() override { isGone_ = true; }

    int moreBody_ = 0;
    bool isGone_ = false;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(requestsOfOneConnectionAreAnsweredInOrderAlsoWhenTheyComeTogether)
{
    Fixture fixture;
    fixture.handler_ = [&](const auto &exchange) {
        Fixture::answer(exchange, exchange->head().target_ + ":" + exchange->body());
    };
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.loop_.runFor(200ms);
    BOOST_TEST(fixture.exchanges_.size() == 3);
    const std::size_t first = client.received().find("/1:ab");
    const std::size_t second = client.received().find("/2:");
    const std::size_t third = client.received().find("/3:");
    BOOST_TEST((first < second && second < third && third != std::string::npos));
    BOOST_TEST(!client.hasEnded());
}

// Guards against answers without end in memory, for a caller that sends requests and reads nothing.
BOOST_AUTO_TEST_CASE(furtherRequestsOfAConnectionWaitUntilItsCallerReads)
{
    constexpr std::size_t requests = 1000;
    constexpr std::size_t answerBytes = 60000;
    Fixture fixture;
    fixture.handler_ = [&](const auto &exchange) {
        Fixture::answer(exchange, std::string(answerBytes, 'x'));
    };
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.setReading(false);
    for (std::size_t i = 0; i < requests; ++i) {
        client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    fixture.loop_.runFor(500ms);
    BOOST_TEST(fixture.exchanges_.size() < requests / 4); // What the system's buffers take.
    client.setReading(true);
    const auto end = fixture.loop_.now() + 10s;
    while (client.received().size() < requests * answerBytes && fixture.loop_.now() < end) {
        fixture.loop_.runFor(10ms);
    }
    BOOST_TEST(fixture.exchanges_.size() == requests);
    BOOST_TEST(!client.hasEnded());
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesIsNoticedWhileItsAnswerIsWorkedOut)
{
    Fixture fixture;
    Listener listener;
    fixture.handler_ = [&](const auto &exchange) { exchange->setListener(&listener); };
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.loop_.runFor(100ms);
    BOOST_REQUIRE(fixture.exchanges_.size() == 1);
    client.close();
    fixture.loop_.runFor(100ms);
    BOOST_TEST(listener.isGone_);
    BOOST_TEST(!fixture.exchanges_[0]->isOpen());
    Fixture::answer(fixture.exchanges_[0], "late"); // Goes nowhere.
    BOOST_TEST(fixture.server_.connectionCount() == 0);
}

BOOST_AUTO_TEST_CASE(aLongBodyIsHandedOverInPartsAndWaitsForItsReader)
{
    Fixture fixture;
    Listener listener;
    fixture.handler_ = [&](const auto &exchange) { exchange->setListener(&listener); };
    RawClient client(fixture.loop_, fixture.endpoint_);
    constexpr std::size_t size = 4UL * 1024 * 1024;
    client.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size)
                + "\r\n\r\n" + std::string(size, 'x'));
    fixture.loop_.runFor(200ms);
    BOOST_REQUIRE(fixture.exchanges_.size() == 1);
    const auto exchange = fixture.exchanges_[0];
    // Only a small part is held while nobody takes it.
    BOOST_TEST(exchange->body().size() < 512UL * 1024);
    BOOST_TEST(!exchange->isBodyComplete());
    std::size_t taken = 0;
    for (int i = 0; i < 200 && taken < size; ++i) {
        taken += exchange->takeBody().size();
        fixture.loop_.runFor(5ms);
    }
    BOOST_TEST(taken == size);
    BOOST_TEST(exchange->isBodyComplete());
}

BOOST_AUTO_TEST_CASE(anAnswerThatIsCutEndsWithoutItsLastChunk)
{
    Fixture fixture;
    fixture.handler_ = [&](const auto &exchange) {
        qz::HttpHead head;
        head.status_ = 200;
        head.framing_ = qz::BodyFraming::Chunked;
        exchange->startReply(head);
        exchange->sendBody("part");
    };
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.loop_.runFor(100ms);
    fixture.exchanges_[0]->cut();
    client.awaitEnd();
    BOOST_TEST(client.hasEnded());
    BOOST_TEST(countOf(client.received(), "0\r\n\r\n") == 0);
}

BOOST_AUTO_TEST_CASE(refusedRequestsGetAnAnswerAndTheEndOfTheirConnection)
{
    Fixture fixture;
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send(
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    client.awaitEnd();
    BOOST_TEST(client.received().substr(0, 12) == "HTTP/1.1 400");
    BOOST_TEST(fixture.exchanges_.empty());
}

BOOST_AUTO_TEST_CASE(slowHeadsAndIdleConnectionsEndAtTheirLimits)
{
    qz::CallerLimits limits;
    limits.headTimeout_ = 200ms;
    limits.idleTimeout_ = 200ms;
    Fixture fixture(limits);
    fixture.handler_ = [&](const auto &exchange) { Fixture::answer(exchange, "ok"); };
    RawClient slow(fixture.loop_, fixture.endpoint_);
    slow.send("GET / HT");
    RawClient idle(fixture.loop_, fixture.endpoint_);
    idle.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    slow.awaitEnd();
    idle.awaitEnd();
    BOOST_TEST(slow.hasEnded());
    BOOST_TEST(idle.hasEnded());
    BOOST_TEST(fixture.exchanges_.size() == 1);
}

// Guards against requests whose body never becomes whole and that are held for ever.
BOOST_AUTO_TEST_CASE(bodyThatDoesNotComeInTimeEndsItsRequestAsNotRun)
{
    qz::CallerLimits limits;
    limits.bodyTimeout_ = 200ms;
    Fixture fixture(limits);
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    client.awaitEnd();
    BOOST_TEST(client.received().substr(0, 12) == "HTTP/1.1 408");
    BOOST_TEST(client.hasEnded());
    BOOST_TEST(fixture.exchanges_.empty());
    client.close();
    fixture.loop_.runFor(50ms);
    BOOST_TEST(fixture.server_.connectionCount() == 0);
}

// Guards against a connection that ends without a word because its body is no proper one.
BOOST_AUTO_TEST_CASE(malformedBodyIsRefusedWithAnAnswer)
{
    Fixture fixture;
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send(
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello!!!\r\n");
    client.awaitEnd();
    BOOST_TEST(client.received().substr(0, 12) == "HTTP/1.1 400");
    BOOST_TEST(fixture.exchanges_.empty());
}

// Guards against a head that is within its limit and never fits into the input.
BOOST_AUTO_TEST_CASE(headOfTheGreatestSizeIsTaken)
{
    qz::CallerLimits limits;
    limits.headBytes_ = std::size_t(200) * 1024;
    Fixture fixture(limits);
    fixture.handler_ = [&](const auto &exchange) { Fixture::answer(exchange, "ok"); };
    RawClient client(fixture.loop_, fixture.endpoint_);
    const std::string value(limits.headBytes_ - 100, 'x');
    client.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + value + "\r\n\r\n");
    fixture.loop_.runFor(300ms);
    BOOST_TEST(client.received().substr(0, 12) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(aStoppingServerAnswersAndEndsItsConnections)
{
    Fixture fixture;
    fixture.handler_ = [&](const auto &exchange) { Fixture::answer(exchange, "ok"); };
    fixture.server_.startClosing();
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    client.awaitEnd();
    BOOST_TEST(client.received().find("Connection: close") != std::string::npos);
    BOOST_TEST(client.received().find("ok") != std::string::npos);
}

// Guards against a stop that drops the end of an answer that its caller has not read yet.
BOOST_AUTO_TEST_CASE(answerToASlowReaderIsSentWholeBeforeItsConnectionIsGone)
{
    constexpr std::size_t size = 16UL * 1024 * 1024; // More than the system's buffers take.
    Fixture fixture;
    fixture.handler_ = [&](const auto &exchange) {
        Fixture::answer(exchange, std::string(size, 'x'));
    };
    fixture.server_.startClosing();
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.setReading(false);
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.loop_.runFor(2300ms);
    BOOST_TEST(fixture.exchanges_.size() == 1);
    BOOST_TEST(fixture.server_.connectionCount() == 1);
    client.setReading(true);
    client.awaitEnd();
    BOOST_TEST(client.received().size() > size);
    BOOST_TEST(!client.wasReset());
    client.close();
    fixture.loop_.runFor(100ms);
    BOOST_TEST(fixture.server_.connectionCount() == 0);
}

// Guards against a time limit of heads or idle connections that ends an answer on its way.
BOOST_AUTO_TEST_CASE(answerToASlowReaderOutlastsTheLimitsOfHeadsAndIdleConnections)
{
    constexpr std::size_t size = 16UL * 1024 * 1024;
    qz::CallerLimits limits;
    limits.headTimeout_ = 100ms;
    limits.idleTimeout_ = 100ms;
    Fixture fixture(limits);
    fixture.handler_ = [&](const auto &exchange) {
        Fixture::answer(exchange, std::string(size, 'x'));
    };
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.setReading(false);
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.loop_.runFor(1300ms);
    client.setReading(true);
    while (client.received().size() <= size && !client.hasEnded()) {
        fixture.loop_.runFor(5ms);
    }
    BOOST_TEST(client.received().size() > size);
    BOOST_TEST(!client.hasEnded()); // The idle time begins once the answer has been taken.
}

// Guards against a partial answer without length that ends like a whole one.
BOOST_AUTO_TEST_CASE(answerThatIsNotSentWholeEndsWithAReset)
{
    auto fixture = std::make_unique<Fixture>();
    fixture->handler_ = [&](const auto &exchange) {
        qz::HttpHead head;
        head.status_ = 200;
        head.framing_ = qz::BodyFraming::UntilClose;
        exchange->startReply(head);
        exchange->sendBody(std::string(16UL * 1024 * 1024, 'x'));
        exchange->endReply();
    };
    qz::EventLoop clientLoop;
    RawClient client(clientLoop, fixture->endpoint_);
    client.setReading(false);
    client.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
        clientLoop.runFor(5ms);
        fixture->loop_.runFor(5ms);
    }
    BOOST_TEST(fixture->exchanges_.size() == 1);
    fixture.reset(); // As at the end of the process.
    client.setReading(true);
    client.awaitEnd();
    BOOST_TEST(client.wasReset());
}

// Guards against closing a connection as idle whose request has arrived but was not read yet.
BOOST_AUTO_TEST_CASE(requestThatHasArrivedIsAnsweredBeforeItsConnectionIsClosed)
{
    Fixture fixture;
    fixture.handler_ = [&](const auto &exchange) { Fixture::answer(exchange, "ok"); };
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = toAddress(fixture.endpoint_);
    BOOST_REQUIRE(connect(caller, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                  == 0);
    BOOST_REQUIRE(send(caller, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    while (fixture.server_.connectionCount() == 0) {
        event_base_loop(fixture.loop_.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    BOOST_TEST(fixture.exchanges_.empty());
    fixture.server_.closeIdleConnections(0ms);
    fixture.loop_.runFor(50ms);
    BOOST_TEST(fixture.exchanges_.size() == 1);
    char answer[12] = {};
    BOOST_TEST(recv(caller, answer, sizeof answer, MSG_DONTWAIT) == 12);
    BOOST_TEST(std::string(answer, sizeof answer) == "HTTP/1.1 200");
    evutil_closesocket(caller);
}

// Guards against closing a connection under a caller that is about to send its first request.
BOOST_AUTO_TEST_CASE(onlyConnectionsThatAreQuietForSomeTimeAreClosedAsIdle)
{
    Fixture fixture;
    fixture.handler_ = [&](const auto &exchange) { Fixture::answer(exchange, "ok"); };
    RawClient client(fixture.loop_, fixture.endpoint_);
    fixture.loop_.runFor(20ms);
    fixture.server_.closeIdleConnections(200ms);
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.loop_.runFor(20ms);
    BOOST_TEST(client.received().find("ok") != std::string::npos);
    fixture.loop_.runFor(250ms);
    fixture.server_.closeIdleConnections(200ms);
    client.awaitEnd();
    BOOST_TEST(client.hasEnded());
}

// Guards against a crash when idle connections are closed twice in one turn of the loop.
BOOST_AUTO_TEST_CASE(closedConnectionsMayBeClosedAgainInTheSameTurn)
{
    Fixture fixture;
    RawClient client(fixture.loop_, fixture.endpoint_);
    fixture.loop_.runFor(20ms);
    BOOST_TEST(fixture.server_.connectionCount() == 1);
    fixture.server_.closeIdleConnections(0ms);
    fixture.server_.closeIdleConnections(0ms);
    client.awaitEnd();
    BOOST_TEST(client.hasEnded());
}
