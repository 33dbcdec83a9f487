// Tests of whole requests: real callers and backend servers on loopback, misbehaving.
#include "qz_forward/qz_forward.h"

#include "qz_http/stream/callerserver.h"
#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

const std::string answerHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n";
const std::string goodAnswer = answerHead + "Content-Length: 2\r\n\r\nok";
const std::string shedAnswer = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string failedAnswer =
        "HTTP/1.1 500 Failed\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad";

/// Ends a connection with a reset.
void resetConnection(bufferevent *stream)
{
    const linger abort{ 1, 0 };
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    bufferevent_free(stream);
}

RawServer::Script answering(const std::string &text)
{
    return [text](bufferevent *stream, int /*reads*/) { write(stream, text); };
}

void resetting(bufferevent *stream, int /*reads*/)
{
    resetConnection(stream);
}

/// An instance between one caller and scripted backend servers of one service.
class Fixture
{
public:
    Fixture()
        : backends_(loop_)
        , forwarder_(loop_, makeSettings(), backends_, metrics_)
        , callers_(loop_, {}, [this](const auto &exchange) { forwarder_.handle(exchange); })
        , endpoint_{ "127.0.0.1", findFreePort() }
    {
        BOOST_REQUIRE(callers_.listen(endpoint_).has_value());
        forwarder_.setSlackPart(1.0);
    }

    /// Servers are near in the order in which they are added, so the first is chosen first.
    RawServer &addServer(const std::string &id, RawServer::Script script)
    {
        servers_.push_back(std::make_unique<RawServer>(loop_, std::move(script)));
        putServer(id, servers_.back()->endpoint());
        return *servers_.back();
    }

    void putServer(const std::string &id, const qz::Endpoint &endpoint, bool isDraining = false)
    {
        qz::ListedBackend listed;
        listed.id_ = qz::BackendServerId(id);
        listed.service_ = qz::ServiceId("service");
        listed.endpoint_ = endpoint;
        listed.location_ = { qz::RegionId("r"),
                             qz::FailureDomainId(backends_.size() == 0 || isDraining ? "d" : "e") };
        listed.slots_ = 4;
        listed.isDraining_ = isDraining;
        backends_.put(listed);
    }

    void setRoute(bool isRepeatable, qz::Duration timeout = 2s, int maxAttempts = 2)
    {
        qz::RequestRoute route;
        route.name_ = "route";
        route.host_ = "h";
        route.prefix_ = "/";
        route.isRepeatable_ = isRepeatable;
        route.timeout_ = timeout;
        route.target_ = 1s;
        route.maxAttempts_ = maxAttempts;
        route.shares_ = { { qz::ServiceId("service"), 1.0 } };
        qz::RoutingTable::Builder builder;
        builder.setVersion(1).addService(qz::ServiceId("service")).addRoute(route);
        forwarder_.setRoutes(builder.build().value());
    }

    /// Sends a request and runs the loop for @p limit; what came back.
    std::string ask(qz::Duration limit = 400ms, const std::string &fields = "")
    {
        client_ = std::make_unique<RawClient>(loop_, endpoint_);
        client_->send("POST /p?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n" + fields
                      + "Content-Length: 4\r\n\r\nbody");
        loop_.runFor(limit);
        return client_->received();
    }

    qz::EventLoop loop_;
    qz::ForwardMetrics metrics_;
    qz::BackendTable backends_;
    qz::Forwarder forwarder_;
    qz::CallerServer callers_;
    const qz::Endpoint endpoint_;
    std::vector<std::unique_ptr<RawServer>> servers_;
    std::unique_ptr<RawClient> client_;

private:
    static qz::ForwardSettings makeSettings()
    {
        qz::ForwardSettings settings;
        settings.location_ = { qz::RegionId("r"), qz::FailureDomainId("d") };
        settings.headers_ = { "X-Id", "X-Deadline", "X-Expect", "X-Not-Run", "X-Seal" };
        settings.retryBudget_.slack_ = 10.0;
        return settings;
    }
};

int statusOf(const std::string &answer)
{
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(anAnswerIsPassedOnAsItIs)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a", answering(goodAnswer));
    const std::string answer = fixture.ask();
    BOOST_TEST(statusOf(answer) == 200);
    BOOST_TEST(contains(answer, "X-Seal: s\r\n"));
    BOOST_TEST(contains(answer, "\r\n\r\nok"));
}

BOOST_AUTO_TEST_CASE(withoutAConfigurationNothingIsRunAndTheCallerIsToldSo)
{
    Fixture fixture;
    RawServer &server = fixture.addServer("a", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask()) == 503);
    BOOST_TEST(server.connectionCount() == 0);
    fixture.setRoute(false);
    BOOST_TEST(statusOf(fixture.ask()) == 200);
}

BOOST_AUTO_TEST_CASE(requestsThatComeRightAfterAStartWaitForTheConfiguration)
{
    Fixture fixture;
    fixture.addServer("a", answering(goodAnswer));
    fixture.forwarder_.deferRequests(1s);
    BOOST_TEST(fixture.ask(100ms).empty());
    BOOST_TEST(fixture.forwarder_.activeRequestCount() == 1);
    fixture.setRoute(false);
    fixture.forwarder_.startDeferredRequests();
    fixture.loop_.runFor(200ms);
    BOOST_TEST(statusOf(fixture.client_->received()) == 200);
}

BOOST_AUTO_TEST_CASE(whatCannotBeServedAfterTheWaitIsRefusedAndLaterAtOnce)
{
    Fixture fixture;
    fixture.forwarder_.deferRequests(100ms);
    BOOST_TEST(statusOf(fixture.ask(200ms)) == 503);
    BOOST_TEST(statusOf(fixture.ask(50ms)) == 503);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesWhileItsRequestWaitsIsForgotten)
{
    Fixture fixture;
    fixture.forwarder_.deferRequests(1s);
    fixture.ask(50ms);
    fixture.client_->close();
    fixture.loop_.runFor(50ms);
    BOOST_TEST(fixture.forwarder_.activeRequestCount() == 0);
    fixture.forwarder_.startDeferredRequests();
}

BOOST_AUTO_TEST_CASE(nonRepeatableWorkIsNeverSentAgainAfterAReset)
{
    Fixture fixture;
    fixture.setRoute(false);
    RawServer &first = fixture.addServer("a", resetting);
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    const std::string answer = fixture.ask();
    BOOST_TEST(statusOf(answer) == 502);
    BOOST_TEST(contains(answer, "Quetzaldale-Outcome: unknown"));
    BOOST_TEST(first.readCount() == 1);
    BOOST_TEST(second.readCount() == 0);
}

BOOST_AUTO_TEST_CASE(repeatableWorkIsTriedAtAnotherServer)
{
    Fixture fixture;
    fixture.setRoute(true);
    RawServer &first = fixture.addServer("a", resetting);
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask()) == 200);
    BOOST_TEST(first.readCount() == 1);
    BOOST_TEST(second.readCount() == 1);
}

BOOST_AUTO_TEST_CASE(noMoreServersAreTriedThanTheRouteAllows)
{
    Fixture fixture;
    fixture.setRoute(true, 2s, 2);
    for (const char *id : { "a", "b", "c", "d" }) {
        fixture.addServer(id, resetting);
    }
    BOOST_TEST(statusOf(fixture.ask()) == 502);
    int reads = 0;
    for (const auto &server : fixture.servers_) {
        reads += server->readCount();
    }
    BOOST_TEST(reads == 2);
}

BOOST_AUTO_TEST_CASE(withoutRetryBudgetThereIsNoSecondTry)
{
    Fixture fixture;
    fixture.setRoute(true);
    fixture.forwarder_.setSlackPart(0.0);
    fixture.addServer("a", resetting);
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask()) == 502);
    BOOST_TEST(second.readCount() == 0);
}

BOOST_AUTO_TEST_CASE(workThatAServerHasShedIsSentToAnother)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a", answering(shedAnswer));
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask()) == 200);
    BOOST_TEST(second.readCount() == 1);
}

BOOST_AUTO_TEST_CASE(workThatAllServersHaveShedIsToldAsNotRunWithATimeToComeBack)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a", answering(shedAnswer));
    fixture.addServer("b", answering(shedAnswer));
    const std::string answer = fixture.ask();
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST(contains(answer, "Quetzaldale-Outcome: not-run"));
    BOOST_TEST(contains(answer, "Retry-After: "));
}

BOOST_AUTO_TEST_CASE(aResetAfterAShedIsNotToldAsNotRun)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a", answering(shedAnswer));
    fixture.addServer("b", resetting);
    BOOST_TEST(statusOf(fixture.ask()) == 502);
}

BOOST_AUTO_TEST_CASE(aBare503OfABackendServerIsNoProofThatItHasNotRun)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a",
                      answering("HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Seal: s\r\n"
                                "Content-Length: 0\r\n\r\n"));
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    const std::string answer = fixture.ask();
    // It is the server's own answer and is passed on with its seal.
    BOOST_TEST(contains(answer, "X-Seal: s"));
    BOOST_TEST(second.readCount() == 0);
}

BOOST_AUTO_TEST_CASE(aServerThatCannotBeReachedCostsNothing)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.putServer("a", { "127.0.0.1", findFreePort() });
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask()) == 200);
    BOOST_TEST(second.readCount() == 1);
}

BOOST_AUTO_TEST_CASE(aServersOwnFailureIsPassedOnForNonRepeatableWork)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a", answering(failedAnswer));
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    const std::string answer = fixture.ask();
    BOOST_TEST(statusOf(answer) == 500);
    BOOST_TEST(contains(answer, "bad"));
    BOOST_TEST(second.readCount() == 0);
}

BOOST_AUTO_TEST_CASE(anAnswerThatBreaksOffIsReplacedForRepeatableWorkAndNeverLooksWhole)
{
    for (const bool isRepeatable : { true, false }) {
        Fixture fixture;
        fixture.setRoute(isRepeatable);
        fixture.addServer("a", [](bufferevent *stream, int /*reads*/) {
            const std::string part = answerHead + "Content-Length: 10\r\n\r\nhalf";
            const int sent = static_cast<int>(
                    send(bufferevent_getfd(stream), part.data(), part.size(), MSG_NOSIGNAL));
            BOOST_TEST(sent == static_cast<int>(part.size()));
            bufferevent_free(stream);
        });
        fixture.addServer("b", answering(goodAnswer));
        const std::string answer = fixture.ask();
        BOOST_TEST(statusOf(answer) == (isRepeatable ? 200 : 502));
        BOOST_TEST(!contains(answer, "half"));
    }
}

BOOST_AUTO_TEST_CASE(aLateAnswerToAnotherRequestIsSkipped)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a",
                      answering("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: o\r\n"
                                "Content-Length: 5\r\n\r\nother"
                                + goodAnswer));
    const std::string answer = fixture.ask();
    BOOST_TEST(statusOf(answer) == 200);
    BOOST_TEST(!contains(answer, "other"));
    BOOST_TEST(contains(answer, "\r\n\r\nok"));
}

BOOST_AUTO_TEST_CASE(anExtraAnswerGoesToNobody)
{
    Fixture fixture;
    fixture.setRoute(false);
    RawServer &server = fixture.addServer("a", answering(goodAnswer + goodAnswer));
    BOOST_TEST(contains(fixture.ask(), "\r\n\r\nok"));
    BOOST_TEST(contains(fixture.ask(), "\r\n\r\nok"));
    BOOST_TEST(server.connectionCount() == 2); // The first connection was not used again.
}

BOOST_AUTO_TEST_CASE(connectionsAreUsedAgain)
{
    Fixture fixture;
    fixture.setRoute(false);
    RawServer &server = fixture.addServer("a", answering(goodAnswer));
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(statusOf(fixture.ask(100ms)) == 200);
    }
    BOOST_TEST(server.connectionCount() == 1);
}

BOOST_AUTO_TEST_CASE(anOldIdleConnectionCarriesRepeatableWorkOnly)
{
    // A server that forgot an idle connection, or a way that went silent, loses what is sent next.
    for (const bool isRepeatable : { true, false }) {
        Fixture fixture;
        fixture.setRoute(isRepeatable);
        RawServer &server = fixture.addServer("a", answering(goodAnswer));
        BOOST_TEST(statusOf(fixture.ask(300ms)) == 200);
        BOOST_TEST(statusOf(fixture.ask(300ms)) == 200);
        BOOST_TEST(server.connectionCount() == (isRepeatable ? 1 : 2));
    }
}

BOOST_AUTO_TEST_CASE(aSuccessWithoutSealIsNoAnswer)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a", answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"));
    BOOST_TEST(statusOf(fixture.ask()) == 502);
}

BOOST_AUTO_TEST_CASE(anAnswerWithoutLengthIsWholeIfItsConnectionEndsInOrder)
{
    Fixture fixture;
    fixture.setRoute(false);
    fixture.addServer("a", [](bufferevent *stream, int /*reads*/) {
        const std::string text = answerHead + "\r\nto the end";
        (void)send(bufferevent_getfd(stream), text.data(), text.size(), MSG_NOSIGNAL);
        shutdown(bufferevent_getfd(stream), SHUT_WR);
    });
    BOOST_TEST(contains(fixture.ask(), "to the end"));
}

BOOST_AUTO_TEST_CASE(aRequestEndsAtItsTimeAndItsWorkIsDropped)
{
    Fixture fixture;
    fixture.setRoute(false, 300ms);
    RawServer &server = fixture.addServer("a", [](bufferevent * /*stream*/, int /*reads*/) {});
    const std::string answer = fixture.ask(450ms);
    BOOST_TEST(statusOf(answer) == 504);
    BOOST_TEST(server.readCount() == 1);
    BOOST_TEST(fixture.backends_.find(qz::BackendServerId("a"))->inFlight() == 0);
}

BOOST_AUTO_TEST_CASE(theCallersDeadlineBindsIfItIsShorter)
{
    Fixture fixture;
    fixture.setRoute(false, 5s);
    fixture.addServer("a", [](bufferevent * /*stream*/, int /*reads*/) {});
    BOOST_TEST(statusOf(fixture.ask(450ms, "X-Deadline: 400\r\n")) == 504);
}

BOOST_AUTO_TEST_CASE(aSilentServerIsOvertakenForRepeatableWork)
{
    Fixture fixture;
    fixture.setRoute(true);
    fixture.addServer("a", [](bufferevent * /*stream*/, int /*reads*/) {});
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask(900ms)) == 200);
    BOOST_TEST(second.readCount() == 1);
}

BOOST_AUTO_TEST_CASE(workOfACallerThatHasLeftIsDropped)
{
    Fixture fixture;
    fixture.setRoute(true);
    fixture.addServer("a", [](bufferevent * /*stream*/, int /*reads*/) {});
    fixture.ask(100ms);
    BOOST_TEST(fixture.forwarder_.activeRequestCount() == 1);
    fixture.client_->close();
    fixture.loop_.runFor(100ms);
    BOOST_TEST(fixture.forwarder_.activeRequestCount() == 0);
    BOOST_TEST(fixture.backends_.find(qz::BackendServerId("a"))->inFlight() == 0);
}

BOOST_AUTO_TEST_CASE(aDrainingServerGetsNoNewWork)
{
    Fixture fixture;
    fixture.setRoute(false);
    RawServer &first = fixture.addServer("a", answering(goodAnswer));
    RawServer &second = fixture.addServer("b", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask(100ms)) == 200);
    fixture.putServer("a", first.endpoint(), true);
    BOOST_TEST(statusOf(fixture.ask(100ms)) == 200);
    BOOST_TEST(first.readCount() == 1);
    BOOST_TEST(second.readCount() == 1);
}

BOOST_AUTO_TEST_CASE(longBodiesStreamInBothDirections)
{
    Fixture fixture;
    fixture.setRoute(false, 10s);
    constexpr std::size_t size = 3UL * 1024 * 1024;
    fixture.addServer("a", [](bufferevent *stream, int reads) {
        if (reads == 1) {
            write(stream,
                  answerHead + "Content-Length: " + std::to_string(size) + "\r\n\r\n"
                          + std::string(size, 'y'));
        }
    });
    RawClient client(fixture.loop_, fixture.endpoint_);
    client.send("POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: " + std::to_string(size)
                + "\r\n\r\n" + std::string(size, 'x'));
    fixture.loop_.runFor(1500ms);
    BOOST_TEST(statusOf(client.received()) == 200);
    BOOST_TEST(client.received().size() > size);
}

BOOST_AUTO_TEST_CASE(aBodyOverTheLimitIsRefused)
{
    Fixture fixture;
    qz::RequestLimits limits;
    limits.bodyBytes_ = 3;
    qz::RequestRoute route;
    route.host_ = "h";
    route.prefix_ = "/";
    route.timeout_ = 1s;
    route.target_ = 1s;
    route.shares_ = { { qz::ServiceId("service"), 1.0 } };
    qz::RoutingTable::Builder builder;
    builder.setLimits(limits).addService(qz::ServiceId("service")).addRoute(route);
    fixture.forwarder_.setRoutes(builder.build().value());
    RawServer &server = fixture.addServer("a", answering(goodAnswer));
    BOOST_TEST(statusOf(fixture.ask()) == 413);
    BOOST_TEST(server.readCount() == 0);
}

BOOST_AUTO_TEST_CASE(metricsNameOutcomesAndResults)
{
    Fixture fixture;
    fixture.setRoute(true);
    fixture.addServer("a", resetting);
    fixture.addServer("b", answering(goodAnswer));
    fixture.ask();
    const std::string text = fixture.metrics_.format();
    BOOST_TEST(contains(text, "qz_requests_total{outcome=\"answered\",service=\"service\"} 1"));
    BOOST_TEST(contains(text, "qz_tries_total{result=\"cut\",service=\"service\"} 1"));
    BOOST_TEST(contains(text, "qz_holds_total{service=\"service\"} 1"));
    BOOST_TEST(contains(text, "qz_request_seconds_bucket"));
}
