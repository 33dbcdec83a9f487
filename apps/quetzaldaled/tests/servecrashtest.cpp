// Tests of `quetzaldaled serve` processes with requests that crash the backend servers that run
// them.
#include "platform/platformnames.h"
#include "qz_http/stream/callerserver.h"

#include <boost/test/unit_test.hpp>

#include "platform/tests/fakestore.h"
#include "quetzaldaled/tests/serveinstance.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <random>

using namespace std::chrono_literals;
using namespace qz::testing;
using qz::platform::backendTable;
using qz::platform::configKey;
using qz::platform::operatorTable;

namespace {

constexpr qz::Duration runTime = 10ms;
constexpr qz::Duration crashTime = 50ms;
constexpr qz::Duration expiryTime = 3s; ///< From the end of a server to the end of its entry.
constexpr qz::Duration stabilityWindow = 3s;
constexpr int allowedLaterSends = 3;
constexpr int status200 = 200;

/// A backend server whose process ends in the middle of some requests: its connections are closed,
/// and new ones are refused.
class CrashingServer
{
public:
    using Handler =
            std::function<void(CrashingServer &, const std::shared_ptr<qz::CallerExchange> &)>;

    CrashingServer(qz::EventLoop &loop, std::string id, const Handler &handler)
        : id_(std::move(id))
        , endpoint_{ "127.0.0.1", takeListenPort() }
        , server_(std::make_unique<qz::CallerServer>(
                  loop, qz::CallerLimits{},
                  [this, handler](const auto &exchange) { handler(*this, exchange); }))
    {
        BOOST_REQUIRE(server_->listen(endpoint_).has_value());
    }

    const std::string &id() const { return id_; }
    const qz::Endpoint &endpoint() const { return endpoint_; }
    bool isRunning() const { return server_ != nullptr; }
    void end() { server_.reset(); }

private:
    const std::string id_;
    const qz::Endpoint endpoint_;
    std::unique_ptr<qz::CallerServer> server_;
};

std::string makeConfig(const std::string &kind)
{
    return R"({"Version":"00000001","Routes":{"Columns":["Name","Host","Prefix","Kind","TimeoutS",
"TargetLatencyS","MaxAttempts","Service"],"Rows":[["r","h","/a/",")"
            + kind + R"(",4,1,3,"s"]]},"Services":{"Columns":["Name"],"Rows":[["s"]]}})";
}

/// Instances in two failure domains, and servers that start again under another id and at another
/// address some time after they have ended.
class Fixture
{
public:
    Fixture(int instances, int servers, const std::string &kind)
        : store_(loop_)
    {
        store_.put(operatorTable, configKey, makeConfig(kind));
        for (int i = 0; i < servers; ++i) {
            startServer();
        }
        for (int i = 0; i < instances; ++i) {
            instances_.push_back(std::make_unique<ServeInstance>("i" + std::to_string(i),
                                                                 store_.endpoint(), "/dev/null",
                                                                 i % 2 == 0 ? "d" : "e"));
        }
        for (const auto &instance : instances_) {
            BOOST_REQUIRE(awaitReady(loop_, *instance));
        }
        loop_.runFor(1500ms); // Until the instances know each other.
    }

    void runFor(qz::Duration time) { qz::testing::runFor(loop_, time); }

    void startServer()
    {
        const std::string id = "b" + std::to_string(++lastServer_);
        servers_.push_back(std::make_unique<CrashingServer>(
                loop_, id, [this](auto &server, const auto &exchange) { run(server, exchange); }));
        const bool isInD = lastServer_ % 2 == 0;
        store_.put(backendTable, id,
                   R"({"Address":")" + toString(servers_.back()->endpoint())
                           + R"(","born":1,"Info":{"Service":"s","Version":"v","Zone":")"
                           + (isInD ? "d" : "e")
                           + R"(","Slots":4},"Status":{"State":"ready","Sequence":1,)"
                             R"("ColdRemainingS":0}})");
    }

    void endServer(CrashingServer &server)
    {
        server.end();
        later(expiryTime, [this, id = server.id()] { store_.remove(backendTable, id); });
        later(std::chrono::milliseconds(1500 + random_() % 1000), [this] { startServer(); });
    }

    void run(CrashingServer &server, const std::shared_ptr<qz::CallerExchange> &exchange)
    {
        receive(server, exchange, "");
    }

    /// Waits until the body has arrived, of which @p body was taken, and answers or crashes.
    void receive(CrashingServer &server, const std::shared_ptr<qz::CallerExchange> &exchange,
                 std::string body)
    {
        body += exchange->takeBody();
        if (!exchange->isBodyComplete() && exchange->isOpen()) {
            later(5ms, [this, &server, exchange, body] { receive(server, exchange, body); });
            return;
        }
        const qz::HttpHead &head = exchange->head();
        const bool isCrash = head.target_ == crashTarget_ && body == crashBody_
                && head.headers_.find("Authorization").value_or("") == crashCaller_;
        if (isCrash) {
            crashSends_.push_back(loop_.now());
        }
        later(isCrash ? crashTime : runTime, [this, isCrash, exchange, &server] {
            if (!server.isRunning()) {
                return;
            }
            if (isCrash) {
                crashEnds_.push_back(loop_.now());
                endServer(server);
                return;
            }
            qz::HttpHead answer;
            answer.status_ = status200;
            const auto names = qz::platform::makeForwardHeaders();
            answer.headers_.add(names.requestId_,
                                exchange->head().headers_.find(names.requestId_).value_or(""));
            answer.headers_.add(names.seal_, "s");
            exchange->reply(answer, "ok");
        });
    }

    /// Sends a request to @p instance and returns its number. @see statusOf
    std::size_t send(const ServeInstance &instance, const std::string &target,
                     const std::string &body = "", bool isChunked = false,
                     const std::string &caller = "")
    {
        clients_.push_back(std::make_unique<RawClient>(loop_, instance.caller_));
        std::string text = (body.empty() ? "GET " : "POST ") + target + " HTTP/1.1\r\nHost: h\r\n"
                + "X-Quetzaldale-Attempt-Id: " + std::to_string(clients_.size())
                + "\r\nX-Quetzaldale-Deadline-Ms: 4000\r\nConnection: close\r\n";
        if (!caller.empty()) {
            text += "Authorization: " + caller + "\r\n";
        }
        if (isChunked) {
            text += "Transfer-Encoding: chunked\r\n\r\n" + qz::formatChunk(body)
                    + std::string(qz::lastChunk);
        } else if (!body.empty()) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        } else {
            text += "\r\n";
        }
        clients_.back()->send(text);
        return clients_.size() - 1;
    }

    std::size_t sendCrash(const ServeInstance &instance)
    {
        return send(instance, crashTarget_, crashBody_, ++crashNumber_ % 2 == 0, crashCaller_);
    }

    /// Returns zero if there is no answer.
    int statusOf(std::size_t number) const
    {
        const std::string &received = clients_[number]->received();
        return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3));
    }

    /// Sends the request that crashes to one instance after the other until three servers have
    /// ended, and lets that become known.
    void crashThreeServers()
    {
        const auto end = loop_.now() + 6s;
        for (std::size_t i = 0; crashEnds_.size() < 3 && loop_.now() < end; ++i) {
            sendCrash(*instances_[i % instances_.size()]);
            runFor(300ms);
        }
        BOOST_REQUIRE(crashEnds_.size() >= 3);
        runFor(stabilityWindow);
    }

    ServeInstance &anyInstance() { return *instances_[random_() % instances_.size()]; }

    void later(qz::Duration delay, std::function<void()> work)
    {
        timers_.push_back(loop_.callAfter(delay, std::move(work)));
    }

    std::ptrdiff_t crashSendsSince(qz::TimePoint from) const
    {
        return std::count_if(crashSends_.begin(), crashSends_.end(),
                             [from](qz::TimePoint at) { return at > from; });
    }

    qz::EventLoop loop_;
    FakeStore store_;
    std::mt19937_64 random_{ 1 };
    std::string crashTarget_ = "/a/crash";
    std::string crashBody_;
    std::string crashCaller_;
    std::vector<qz::TimePoint> crashSends_; ///< Arrivals of that request at servers.
    std::vector<qz::TimePoint> crashEnds_;  ///< Ends of servers under it.
    std::vector<std::unique_ptr<CrashingServer>> servers_;
    std::vector<std::unique_ptr<ServeInstance>> instances_;
    std::vector<std::unique_ptr<RawClient>> clients_;
    std::vector<qz::Timers::HandlePtr> timers_;
    int lastServer_ = 0;
    int crashNumber_ = 0;
};

/// Sends the request that crashes at any instance, again and again, beside sound ones of the same
/// route.
void playCrashes(Fixture &fixture)
{
    std::vector<std::pair<std::size_t, qz::TimePoint>> sound;
    const auto begin = fixture.loop_.now();
    const auto crashing =
            fixture.loop_.callEvery(400ms, [&] { fixture.sendCrash(fixture.anyInstance()); });
    const auto serving = fixture.loop_.callEvery(40ms, [&] {
        sound.emplace_back(fixture.send(fixture.anyInstance(), "/a/" + std::to_string(sound.size()),
                                        fixture.crashBody_),
                           fixture.loop_.now());
    });
    const auto end = begin + 12s;
    fixture.runFor(12s);
    BOOST_REQUIRE(fixture.crashEnds_.size() >= 3);
    BOOST_TEST(fixture.crashSendsSince(fixture.crashEnds_[2] + stabilityWindow)
               <= allowedLaterSends);
    int served = 0;
    int sent = 0;
    for (const auto &[number, at] : sound) {
        if (at > begin + 7s && at < end - 1s) {
            ++sent;
            served += fixture.statusOf(number) == status200 ? 1 : 0;
        }
    }
    BOOST_TEST(sent >= 90);
    BOOST_TEST(served == sent);
}

} // namespace

// Guards against a request that ends one backend server after the other, sent by any instance.
BOOST_AUTO_TEST_CASE(repeatableRequestThatCrashedThreeServersReachesNoMoreOfThem)
{
    Fixture fixture(4, 8, "safe");
    playCrashes(fixture);
}

// The same with an order; its body comes in chunks or with a length.
BOOST_AUTO_TEST_CASE(orderThatCrashedThreeServersReachesNoMoreOfThem)
{
    Fixture fixture(4, 8, "unsafe");
    fixture.crashBody_ = "an order";
    playCrashes(fixture);
}

// Guards against an instance that has just started, knows nothing, and sends the request again.
BOOST_AUTO_TEST_CASE(instanceThatStartsLearnsOfRequestsThatCrashServersWithoutTheStore)
{
    Fixture fixture(4, 8, "safe");
    fixture.crashThreeServers();
    fixture.store_.setFault(FakeStore::Fault::Refuses);
    ServeInstance &restarted = *fixture.instances_[0];
    restarted.process_->send(SIGKILL);
    while (!restarted.process_->hasEnded()) {
        fixture.runFor(20ms);
    }
    restarted.start();
    BOOST_REQUIRE(awaitReady(fixture.loop_, restarted));
    const auto begin = fixture.loop_.now();
    std::vector<std::size_t> numbers;
    for (int i = 0; i < 10; ++i) {
        numbers.push_back(fixture.sendCrash(restarted));
        fixture.runFor(100ms);
    }
    fixture.runFor(500ms);
    BOOST_TEST(fixture.crashSendsSince(begin) == 0);
    for (const std::size_t number : numbers) {
        BOOST_TEST(fixture.statusOf(number) == 503);
    }
}

// Guards against sound requests that are rejected for a likeness to one that crashes.
BOOST_AUTO_TEST_CASE(sameTargetWithAnotherBodyOrCallerIsServed)
{
    Fixture fixture(4, 8, "unsafe");
    fixture.crashBody_ = "body";
    fixture.crashCaller_ = "one";
    fixture.crashThreeServers();
    const auto begin = fixture.loop_.now();
    const ServeInstance &instance = *fixture.instances_[0];
    const std::string target = fixture.crashTarget_;
    const std::size_t rejected = fixture.send(instance, target, "body", true, "one");
    const std::size_t otherBody = fixture.send(instance, target, "Body", true, "one");
    const std::size_t otherCaller = fixture.send(instance, target, "body", true, "two");
    const std::size_t otherTarget = fixture.send(instance, target + "?x", "body", true, "one");
    fixture.runFor(500ms);
    BOOST_TEST(fixture.statusOf(rejected) == 503);
    BOOST_TEST(fixture.statusOf(otherBody) == status200);
    BOOST_TEST(fixture.statusOf(otherCaller) == status200);
    BOOST_TEST(fixture.statusOf(otherTarget) == status200);
    BOOST_TEST(fixture.crashSendsSince(begin) == 0);
}

// Guards against long bodies that are sent on before they can be told from others.
BOOST_AUTO_TEST_CASE(longBodiesAreToldApartByTheirLastByte)
{
    Fixture fixture(2, 6, "unsafe");
    fixture.crashBody_ = std::string(300000, 'x');
    fixture.crashThreeServers();
    const auto begin = fixture.loop_.now();
    const ServeInstance &instance = *fixture.instances_[0];
    std::vector<std::size_t> rejected;
    std::vector<std::size_t> served;
    for (const bool isChunked : { true, false }) {
        rejected.push_back(
                fixture.send(instance, fixture.crashTarget_, fixture.crashBody_, isChunked));
        std::string other = fixture.crashBody_;
        other.back() = 'y';
        served.push_back(fixture.send(instance, fixture.crashTarget_, other, isChunked));
        other += std::string(1500000, 'z'); // More than is held.
        served.push_back(fixture.send(instance, fixture.crashTarget_, other, isChunked));
    }
    fixture.runFor(1s);
    for (const std::size_t number : rejected) {
        BOOST_TEST(fixture.statusOf(number) == 503);
    }
    for (const std::size_t number : served) {
        BOOST_TEST(fixture.statusOf(number) == status200);
    }
    BOOST_TEST(fixture.crashSendsSince(begin) == 0);
}

// Guards against a popular request that is blamed for servers that end by themselves, some of them
// at once.
BOOST_AUTO_TEST_CASE(popularRequestAtServersThatEndByThemselvesIsServed)
{
    Fixture fixture(4, 10, "safe");
    fixture.crashTarget_ = "/a/none";
    std::vector<std::size_t> numbers;
    const auto sending = fixture.loop_.callEvery(
            10ms, [&] { numbers.push_back(fixture.send(fixture.anyInstance(), "/a/popular")); });
    const auto ending = fixture.loop_.callEvery(1500ms, [&] {
        int left = 3;
        for (const auto &server : fixture.servers_) {
            if (server->isRunning() && left-- > 0) {
                fixture.endServer(*server);
            }
        }
    });
    fixture.runFor(8s);
    int served = 0;
    int ended = 0;
    for (const std::size_t number : numbers) {
        ended += fixture.statusOf(number) != 0 ? 1 : 0;
        served += fixture.statusOf(number) == status200 ? 1 : 0;
    }
    BOOST_TEST(ended >= 500);
    BOOST_TEST(served == ended);
}
