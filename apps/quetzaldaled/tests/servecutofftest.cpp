// Tests of `quetzaldaled serve` processes that cannot reach the backend servers.
#include "platform/platformnames.h"
#include "qz_http/stream/callerserver.h"

#include <boost/test/unit_test.hpp>

#include "platform/tests/fakestore.h"
#include "quetzaldaled/tests/serveinstance.h"
#include "testbed/relay.h"

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

constexpr qz::Duration stabilityWindow = 3s;
constexpr int status200 = 200;

/// Statuses that promise that a request has not run.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// A backend server behind a relay.
struct Server
{
    Server(qz::EventLoop &loop, const qz::CallerServer::Handler &handler)
        : endpoint_{ "127.0.0.1", takeListenPort() }
        , server_(loop, {}, handler)
        , relay_(loop, endpoint_)
    {
        BOOST_REQUIRE(server_.listen(endpoint_).has_value());
    }

    qz::Endpoint endpoint_;
    qz::CallerServer server_;
    Relay relay_;
};

/// A request of a caller.
struct Sent
{
    std::unique_ptr<RawClient> client_;
    std::size_t instance_ = 0;
    qz::TimePoint at_;
    bool isOrder_ = false;

    /// Returns zero without a whole answer.
    int status() const
    {
        const std::string &received = client_->received();
        const bool isWhole = received.size() > 12 && client_->hasEnded() && !client_->wasReset();
        return isWhole ? std::stoi(received.substr(9, 3)) : 0;
    }
};

/// Two instances in each of two failure domains, and callers that use all of them alike.
class Fixture
{
public:
    Fixture()
        : store_(loop_)
    {
        store_.put(operatorTable, configKey,
                   R"({"Version":"00000001","Routes":{"Columns":["Name","Host","Prefix","Kind",
"TimeoutS","TargetLatencyS","MaxAttempts","Service"],"Rows":[["r","h","/safe/","safe",4,1,2,"s"],
["o","h","/once/","unsafe",4,1,2,"s"]]},"Services":{"Columns":["Name"],"Rows":[["s"]]}})");
        for (int i = 0; i < 4; ++i) {
            servers_.push_back(std::make_unique<Server>(
                    loop_, [this](const auto &exchange) { run(exchange); }));
            store_.put(backendTable, "b" + std::to_string(i),
                       R"({"Address":")" + toString(servers_.back()->relay_.endpoint())
                               + R"(","born":1,"Info":{"Service":"s","Version":"v","Zone":")"
                               + (i % 2 == 0 ? "d" : "e")
                               + R"(","Slots":8},"Status":{"State":"ready","Sequence":1,)"
                                 R"("ColdRemainingS":0}})");
        }
        for (int i = 0; i < 4; ++i) {
            instances_.push_back(std::make_unique<ServeInstance>("i" + std::to_string(i),
                                                                 store_.endpoint(), "/dev/null",
                                                                 i % 2 == 0 ? "d" : "e"));
        }
        updateProcesses();
        for (const auto &instance : instances_) {
            BOOST_REQUIRE(awaitReady(loop_, *instance));
        }
        runFor(1500ms); // Until the instances know each other.
    }

    void updateProcesses()
    {
        std::vector<pid_t> processes;
        for (const auto &instance : instances_) {
            processes.push_back(instance->process_->id());
        }
        for (const auto &server : servers_) {
            server->relay_.setProcesses(processes);
        }
    }

    void runFor(qz::Duration time) { qz::testing::runFor(loop_, time); }

    void run(const std::shared_ptr<qz::CallerExchange> &exchange)
    {
        const auto names = qz::platform::makeForwardHeaders();
        const std::string id = exchange->head().headers_.find(names.requestId_).value_or("");
        ++runs_[id];
        later(workTime_, [exchange, names, id] {
            qz::HttpHead answer;
            answer.status_ = status200;
            answer.headers_.add(names.requestId_, id);
            answer.headers_.add(names.seal_, "s");
            exchange->reply(answer, "ok");
        });
    }

    void send(std::size_t instance)
    {
        const std::string id = std::to_string(sent_.size());
        Sent request;
        request.client_ = std::make_unique<RawClient>(loop_, instances_[instance]->caller_);
        request.instance_ = instance;
        request.at_ = loop_.now();
        request.isOrder_ = sent_.size() % 2 == 0;
        std::string text = request.isOrder_ ? "POST /once/" : "GET /safe/";
        text.append(id).append(" HTTP/1.1\r\nHost: h\r\nX-Quetzaldale-Attempt-Id: ").append(id);
        text.append("\r\nX-Quetzaldale-Deadline-Ms: 3000\r\nConnection: close\r\n");
        text.append(request.isOrder_ ? "Content-Length: 5\r\n\r\norder" : "\r\n");
        request.client_->send(text);
        sent_.push_back(std::move(request));
    }

    /// Sends requests to all instances for @p time.
    void offerLoad(qz::Duration time)
    {
        const auto end = loop_.now() + time;
        auto next = loop_.now();
        // Also in time if the loop is late.
        const auto sending = loop_.callEvery(10ms, [this, end, &next] {
            for (; next < std::min(end, loop_.now()); next += 20ms) {
                send(random_() % 4);
            }
        });
        runFor(time);
    }

    void setCut(const std::vector<std::size_t> &instances, RelayMode mode)
    {
        for (const auto &server : servers_) {
            for (const std::size_t instance : instances) {
                server->relay_.setModeFor(instances_[instance]->process_->id(), mode);
            }
        }
    }

    /// Returns the requests sent in a time to some of the instances, and those served of them.
    std::pair<int, int> countServed(const std::vector<std::size_t> &instances, qz::TimePoint from,
                                    qz::TimePoint to) const
    {
        int count = 0;
        int served = 0;
        for (const Sent &request : sent_) {
            const bool isCounted = request.at_ >= from && request.at_ < to
                    && std::count(instances.begin(), instances.end(), request.instance_) > 0;
            count += isCounted ? 1 : 0;
            served += isCounted && request.status() == status200 ? 1 : 0;
        }
        return { count, served };
    }

    /// Checks that no order ran twice and that none ran that was told as not run.
    void checkPromises()
    {
        for (std::size_t i = 0; i < sent_.size(); ++i) {
            const int runs = runs_[std::to_string(i)];
            if (sent_[i].isOrder_) {
                BOOST_TEST(runs <= 1);
            }
            if (promisesNotRun(sent_[i].status())) {
                BOOST_TEST(runs == 0);
            }
            if (sent_[i].status() == status200) {
                BOOST_TEST(runs >= 1);
            }
        }
    }

    void later(qz::Duration delay, std::function<void()> work)
    {
        timers_.push_back(loop_.callAfter(delay, std::move(work)));
    }

    qz::EventLoop loop_;
    FakeStore store_;
    qz::Duration workTime_ = 10ms;
    std::mt19937_64 random_{ 1 };
    std::map<std::string, int> runs_; ///< By the id of the request.
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<ServeInstance>> instances_;
    std::vector<Sent> sent_;
    std::vector<qz::Timers::HandlePtr> timers_;
};

/// Cuts off some instances for a while and compares how requests are served there.
void playCut(const std::vector<std::size_t> &cut, RelayMode mode)
{
    BOOST_TEST_INFO("mode " << int(mode));
    Fixture fixture;
    fixture.offerLoad(2s);
    const auto begin = fixture.loop_.now();
    fixture.setCut(cut, mode);
    fixture.offerLoad(9s);
    const auto end = fixture.loop_.now();
    fixture.setCut(cut, RelayMode::Pass);
    fixture.offerLoad(4s);
    fixture.runFor(4s);
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < fixture.instances_.size(); ++i) {
        if (std::count(cut.begin(), cut.end(), i) == 0) {
            others.push_back(i);
        }
    }
    const auto [count, served] = fixture.countServed(cut, begin + stabilityWindow, end);
    const auto [otherCount, otherServed] =
            fixture.countServed(others, begin + stabilityWindow, end);
    BOOST_TEST(count >= 100);
    // The bound of the rule, without its condition on the others.
    BOOST_TEST(count - served <= 10 + (count + otherCount) / 50);
    BOOST_TEST(otherServed >= otherCount - 2);
    const auto [laterCount, laterServed] = fixture.countServed(cut, end + 1s, fixture.loop_.now());
    BOOST_TEST(laterServed == laterCount);
    fixture.checkPromises();
}

} // namespace

// Guards against instances that reject or hold what others could serve while they reach no server.
BOOST_AUTO_TEST_CASE(callersOfInstancesWhoseConnectionsHangAreServed)
{
    playCut({ 0, 1 }, RelayMode::Silent);
}

BOOST_AUTO_TEST_CASE(callersOfInstancesWhoseConnectionsAreResetAreServed)
{
    playCut({ 0, 1 }, RelayMode::Reset);
}

BOOST_AUTO_TEST_CASE(callersOfInstancesThatCannotOpenConnectionsAreServed)
{
    playCut({ 0, 1 }, RelayMode::ResetNew);
}

BOOST_AUTO_TEST_CASE(callersOfAFailureDomainThatIsCutOffAreServed)
{
    playCut({ 0, 2 }, RelayMode::Silent);
}

BOOST_AUTO_TEST_CASE(callersAreServedWhileAllInstancesButOneAreCutOff)
{
    playCut({ 0, 1, 2 }, RelayMode::Reset);
}

// Guards against orders that run twice, or that are told as not run and run, because the instance
// between them and the servers ends.
BOOST_AUTO_TEST_CASE(ordersThroughInstancesThatAreKilledRunAtMostOnce)
{
    Fixture fixture;
    fixture.workTime_ = 200ms;
    fixture.offerLoad(1s);
    fixture.setCut({ 0, 1 }, RelayMode::Silent);
    for (int round = 0; round < 4; ++round) {
        fixture.offerLoad(1500ms);
        ServeInstance &peer = *fixture.instances_[round % 2 == 0 ? 2 : 3];
        peer.process_->send(SIGKILL);
        fixture.runFor(100ms);
        peer.start();
        fixture.updateProcesses();
    }
    fixture.offerLoad(1s);
    fixture.runFor(4s);
    fixture.checkPromises();
    int served = 0;
    for (const Sent &request : fixture.sent_) {
        served += request.instance_ < 2 && request.status() == status200 ? 1 : 0;
    }
    BOOST_TEST(served >= 50);
}

// Guards against a planned stop, of either instance, that cuts requests which one passes to
// another.
BOOST_AUTO_TEST_CASE(stopsOfEitherInstanceCutNoRequestBetweenThem)
{
    Fixture fixture;
    fixture.workTime_ = 300ms;
    fixture.offerLoad(1s);
    fixture.setCut({ 0, 1 }, RelayMode::Silent);
    fixture.offerLoad(3s);
    const auto begin = fixture.loop_.now();
    fixture.instances_[2]->process_->send(SIGTERM);
    fixture.offerLoad(500ms);
    fixture.instances_[0]->process_->send(SIGTERM);
    fixture.offerLoad(2s);
    fixture.runFor(5s);
    fixture.checkPromises();
    BOOST_TEST(fixture.instances_[0]->process_->hasEnded());
    BOOST_TEST(fixture.instances_[0]->process_->exitStatus() == 0);
    BOOST_TEST(fixture.instances_[2]->process_->hasEnded());
    int passedOn = 0;
    for (std::size_t i = 0; i < fixture.sent_.size(); ++i) {
        const Sent &request = fixture.sent_[i];
        if (request.at_ >= begin - 300ms && fixture.runs_[std::to_string(i)] > 0) {
            ++passedOn;
            BOOST_TEST(request.status() == status200);
        }
    }
    BOOST_TEST(passedOn >= 50);
}
