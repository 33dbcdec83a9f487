// Tests of Gate and GateSet with scripted backend servers, some of which fail.
#include "qz_gates/gate/gateset.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

constexpr const char *okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct GateFixture
{
    GateFixture(RawServer::Script script, int slots)
        : server_(loop_, std::move(script))
        , gate_(loop_, makeServer(slots), { qz::RankShare{} })
    {
    }

    qz::BackendServer makeServer(int slots) const
    {
        qz::BackendServer server;
        server.listed_.id_ = qz::BackendServerId("b");
        server.listed_.endpoint_ = server_.endpoint();
        server.listed_.slots_ = slots;
        return server;
    }

    void execute(const std::string &id, bool isRepeatable = true, qz::Duration timeLeft = 1s)
    {
        qz::ExecuteRequest request;
        request.requestId_ = qz::RequestId(id);
        request.server_ = qz::BackendServerId("b");
        request.kind_ = "k";
        request.repeatable_ = isRepeatable;
        request.timeLeft_ = timeLeft;
        request.method_ = "GET";
        request.target_ = "/";
        gate_.execute(request, [this](const qz::ExecuteAnswer &executeAnswer) {
            answers_[executeAnswer.requestId_.value()] = executeAnswer.errorKind_.empty()
                    ? executeAnswer.body_
                    : executeAnswer.errorKind_;
        });
    }

    qz::EventLoop loop_;
    RawServer server_;
    qz::Gate gate_;
    std::map<std::string, std::string> answers_;
};

} // namespace

BOOST_AUTO_TEST_CASE(runsNoMoreRequestsThanSlots)
{
    GateFixture gate([](bufferevent * /*stream*/, int /*reads*/) {}, 2);
    for (const char *id : { "1", "2", "3" }) {
        gate.execute(id);
    }
    gate.loop_.runFor(50ms);
    BOOST_TEST(gate.server_.readCount() == 2);
    BOOST_TEST(gate.gate_.requestCount() == 3U);
}

BOOST_AUTO_TEST_CASE(answersEveryRequest)
{
    GateFixture gate([](bufferevent *stream, int /*reads*/) { write(stream, okResponse); }, 2);
    for (const char *id : { "1", "2", "3", "4" }) {
        gate.execute(id);
    }
    gate.loop_.runFor(100ms);
    BOOST_TEST(gate.answers_.size() == 4U);
    BOOST_TEST(gate.answers_["4"] == "ok");
    BOOST_TEST(gate.gate_.requestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(distinguishesAShedRequestFromACutConnection)
{
    GateFixture gate(
            [](bufferevent *stream, int reads) {
                if (reads == 1) {
                    write(stream, "HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
                } else {
                    bufferevent_free(stream);
                }
            },
            1);
    gate.execute("shed");
    gate.execute("cut");
    gate.loop_.runFor(100ms);
    BOOST_TEST(gate.answers_["shed"] == "backend-shed");
    BOOST_TEST(gate.answers_["cut"] == "backend-cut");
}

BOOST_AUTO_TEST_CASE(neverSendsARequestThatExpiredInTheQueue)
{
    GateFixture gate([](bufferevent * /*stream*/, int /*reads*/) {}, 1);
    gate.execute("first", true, 300ms);
    gate.execute("second", true, 50ms);
    gate.loop_.runFor(100ms);
    gate.gate_.tick();
    BOOST_TEST(gate.answers_["second"] == "deadline-expired");
    gate.loop_.runFor(400ms);
    BOOST_TEST(gate.answers_["first"] == "backend-timeout");
    BOOST_TEST(gate.server_.readCount() == 1);
}

BOOST_AUTO_TEST_CASE(aClosedGateFinishesRunningRequestsAndRefusesOthers)
{
    GateFixture gate([](bufferevent *stream, int /*reads*/) { write(stream, okResponse); }, 1);
    gate.execute("running");
    gate.execute("queued");
    gate.gate_.close(qz::ErrorKind::Draining);
    gate.execute("new");
    gate.loop_.runFor(100ms);
    BOOST_TEST(gate.answers_["running"] == "ok");
    BOOST_TEST(gate.answers_["queued"] == "draining");
    BOOST_TEST(gate.answers_["new"] == "draining");
}

BOOST_AUTO_TEST_CASE(cancelFreesTheSlotOnlyOfARepeatableRequest)
{
    GateFixture gate([](bufferevent * /*stream*/, int /*reads*/) {}, 1);
    gate.execute("order", false);
    gate.loop_.runFor(20ms);
    gate.gate_.cancel(qz::RequestId("order"));
    BOOST_TEST(gate.gate_.requestCount() == 1U);
    GateFixture other([](bufferevent * /*stream*/, int /*reads*/) {}, 1);
    other.execute("view", true);
    other.loop_.runFor(20ms);
    other.gate_.cancel(qz::RequestId("view"));
    BOOST_TEST(other.gate_.requestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(aServerListedAtANewAddressGetsANewGate)
{
    qz::EventLoop loop;
    RawServer before(loop, [](bufferevent *stream, int /*reads*/) { write(stream, okResponse); });
    RawServer after(loop, [](bufferevent *stream, int /*reads*/) { write(stream, okResponse); });
    qz::BackendDirectory directory;
    directory.setRules(qz::RuleSet::parse(R"({"ranks":[{"name":"r","order":0,"target_ms":100,
        "share":0.5,"worth":1}],"kinds":[],"routes":[],"services":[],"workspaces":[],
        "backend_servers":[]})")
                               .value());
    qz::GateSet gates(loop, directory);
    int answered = 0;
    for (const RawServer *server : { &before, &after }) {
        qz::ListedBackendServer listed;
        listed.id_ = qz::BackendServerId("b");
        listed.endpoint_ = server->endpoint();
        directory.setListing({ listed });
        gates.applyDirectory();
        qz::ExecuteRequest request;
        request.requestId_ = qz::RequestId("1");
        request.server_ = listed.id_;
        request.timeLeft_ = 1s;
        request.method_ = "GET";
        request.target_ = "/";
        gates.execute(request, [&](const qz::ExecuteAnswer &executeAnswer) {
            answered += executeAnswer.status_ == 200;
        });
        loop.runFor(50ms);
    }
    BOOST_TEST(answered == 2);
    BOOST_TEST(after.readCount() == 1);
}
