// A whole fleet for tests.
#include "testbed/testbed.h"

#include "qz_http/tests/rawsocket.h"

#include <algorithm>
#include <filesystem>
#include <stdexcept>

#include <unistd.h>

namespace qz::testing {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr const char *fleetKey = "testbed-fleet-key-0123456789abcdef";
constexpr const char *operatorToken = "testbed-operator-token";
constexpr Duration callLimit = 3s;

bool isFree(const Endpoint &endpoint)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = toAddress(endpoint);
    const bool isBound =
            bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    evutil_closesocket(descriptor);
    return isBound;
}

/// An endpoint that was not given out before. Its port is below those that the system gives
/// to outgoing connections, so that it stays free until the daemon listens.
Endpoint findEndpoint()
{
    constexpr int lowestPort = 10000;
    constexpr int portCount = 20000;
    static int next = (getpid() * 131) % portCount;
    for (int tries = 0; tries < portCount; ++tries) {
        next = (next + 1) % portCount;
        Endpoint endpoint{ "127.0.0.1", static_cast<std::uint16_t>(lowestPort + next) };
        if (isFree(endpoint)) {
            return endpoint;
        }
    }
    throw std::runtime_error("no port is free");
}

} // namespace

Testbed::Testbed(Plan plan)
    : plan_(std::move(plan))
    , platformEndpoint_(findEndpoint())
    , platform_(std::make_unique<PlatformStandIn>(loop_, platformEndpoint_))
{
    std::filesystem::create_directories(plan_.logDirectory_);
    planInstances();
    planBackends();
}

Testbed::~Testbed() = default;

void Testbed::planInstances()
{
    const auto &places = plan_.deployment_.places_;
    for (int i = 0; i < plan_.instances_; ++i) {
        TestInstance instance;
        instance.id_ = InstanceId("i" + std::to_string(i));
        instance.location_ = places[static_cast<std::size_t>(i) % places.size()];
        instance.callerEndpoint_ = findEndpoint();
        instance.peerEndpoint_ = findEndpoint();
        platform_->listing().instances_.push_back({ instance.id_, instance.location_,
                                                    instance.callerEndpoint_,
                                                    instance.peerEndpoint_, ListedState::Live });
        instances_.push_back(std::move(instance));
    }
}

void Testbed::planBackends()
{
    const auto &places = plan_.deployment_.places_;
    for (const std::string &service : plan_.deployment_.services_) {
        for (int i = 0; i < plan_.deployment_.serversPerService_; ++i) {
            ListedBackendServer server;
            server.id_ = BackendServerId(service + "-" + std::to_string(i));
            server.location_ = places[static_cast<std::size_t>(i) % places.size()];
            server.endpoint_ = findEndpoint();
            server.labels_ = { { "service", service } };
            server.slots_ = plan_.deployment_.slots_;
            server.connectionLimit_ = 330;
            const BackendStandIn::Plan standIn{ server.id_.value(), server.endpoint_, server.slots_,
                                                plan_.meanServiceTime_,
                                                plan_.seed_ + backends_.size() };
            backends_.push_back(std::make_unique<BackendStandIn>(loop_, standIn, ledger_));
            listedBackends_.push_back(server);
            platform_->listing().backendServers_.push_back(server);
        }
    }
}

std::vector<std::string> Testbed::argumentsFor(const TestInstance &instance) const
{
    std::vector<std::string> arguments{
        "--instance-id=" + instance.id_.value(),
        "--region=" + instance.location_.region_.value(),
        "--failure-domain=" + instance.location_.failureDomain_.value(),
        "--caller-address=" + toString(instance.callerEndpoint_),
        "--peer-address=" + toString(instance.peerEndpoint_),
        "--platform-address=" + toString(platformEndpoint_),
    };
    arguments.insert(arguments.end(), plan_.daemonFlags_.begin(), plan_.daemonFlags_.end());
    return arguments;
}

void Testbed::startInstance(std::size_t index)
{
    TestInstance &instance = instances_[index];
    std::vector<std::string> environment{
        std::string("QUETZALDALE_FLEET_KEY=") + fleetKey,
        std::string("QUETZALDALE_OPERATOR_TOKEN=") + operatorToken,
    };
    if (!plan_.faultPoint_.empty()) {
        environment.push_back("QUETZALDALE_FAULT_POINT=" + plan_.faultPoint_);
    }
    const std::string output = plan_.logDirectory_ + "/" + instance.id_.value() + ".log";
    instance.process_ = std::make_unique<DaemonProcess>(plan_.daemon_, argumentsFor(instance),
                                                        environment, output);
}

bool Testbed::start(Duration limit)
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        startInstance(i);
    }
    const TimePoint end = loop_.now() + limit;
    RulesVersion version = 0;
    while (loop_.now() < end) {
        if (version == 0) {
            version = putRules(0, 0, plan_.deployment_.rulesDocument(), limit);
        } else if (isInForceEverywhere(version)) {
            return true;
        }
        loop_.runFor(100ms);
    }
    return false;
}

void Testbed::startCallers(double requestsPerSecond,
                           const std::map<std::string, double> &floodFactors)
{
    std::vector<Endpoint> seeds;
    for (const TestInstance &instance : instances_) {
        seeds.push_back(instance.callerEndpoint_);
    }
    const auto &places = plan_.deployment_.places_;
    for (std::size_t i = 0; i < places.size(); ++i) {
        const Caller::Plan plan{ plan_.deployment_,
                                 places[i],
                                 seeds,
                                 requestsPerSecond / static_cast<double>(places.size()),
                                 plan_.seed_ * 1000 + callers_.size(),
                                 floodFactors,
                                 plan_.duplicateShare_ };
        callers_.push_back(std::make_unique<Caller>(loop_, plan, ledger_));
        callers_.back()->start();
    }
}

void Testbed::stopCallers()
{
    for (const auto &caller : callers_) {
        caller->stopSending();
    }
}

bool Testbed::settle(Duration limit)
{
    const TimePoint end = loop_.now() + limit;
    const auto isOpen = [this] {
        return std::any_of(callers_.begin(), callers_.end(),
                           [](const auto &caller) { return caller->openCount() > 0; });
    };
    while (isOpen() && loop_.now() < end) {
        loop_.runFor(20ms);
    }
    return !isOpen();
}

Result<HttpResponse> Testbed::call(std::size_t index, HttpRequest request, Duration limit)
{
    request.headers_.add("Authorization", std::string("Bearer ") + operatorToken);
    HttpConnection connection(loop_, instances_[index].callerEndpoint_, 64UL * 1024 * 1024);
    std::optional<Result<HttpResponse>> result;
    connection.send(request, RequestId("operator"), limit, [&](Result<HttpResponse> answer) {
        result.emplace(std::move(answer));
        loop_.stop();
    });
    while (!result) {
        loop_.run();
    }
    return *result;
}

RulesVersion Testbed::putRules(std::size_t index, RulesVersion expected,
                               const std::string &document, Duration limit)
{
    HttpRequest request;
    request.method_ = "PUT";
    request.target_ = "/operator/rules";
    request.headers_.add("If-Match", "\"" + std::to_string(expected) + "\"");
    request.headers_.add("Quetzaldale-Author", "testbed");
    request.body_ = document;
    const auto response = call(index, request, limit);
    if (response.has_error() || response.value().status_ != 200) {
        return 0;
    }
    return json::parse(response.value().body_).at("version").get<RulesVersion>();
}

json Testbed::operate(std::size_t index, const std::string &path)
{
    HttpRequest request;
    request.target_ = path;
    const auto response = call(index, request, callLimit);
    if (response.has_error()) {
        return json::object();
    }
    const json body = json::parse(response.value().body_, nullptr, false);
    return body.is_discarded() ? json::object() : body;
}

bool Testbed::isInForceEverywhere(RulesVersion version)
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (instances_[i].process_ == nullptr || instances_[i].process_->hasEnded()) {
            continue;
        }
        const json status = operate(i, "/operator/status");
        if (status.value("rules_version", RulesVersion(0)) != version
            || !status.value("in_force", false)) {
            return false;
        }
    }
    return true;
}

void Testbed::listLeaving(const InstanceId &instance)
{
    for (ListedInstance &listed : platform_->listing().instances_) {
        if (listed.id_ == instance) {
            listed.state_ = ListedState::Leaving;
        }
    }
}

void Testbed::listLeaving(const BackendServerId &server)
{
    for (ListedBackendServer &listed : platform_->listing().backendServers_) {
        if (listed.id_ == server) {
            listed.state_ = ListedState::Leaving;
        }
    }
}

Violations Testbed::findViolations() const
{
    Violations all;
    for (const auto &caller : callers_) {
        const Violations found = caller->findViolations();
        all.wrongAnswers_ += found.wrongAnswers_;
        all.falseNotRun_ += found.falseNotRun_;
        all.doubled_ += found.doubled_;
        if (!found.example_.empty()) {
            all.example_ = found.example_;
        }
    }
    return all;
}

std::map<std::string, RankTally> Testbed::tallies() const
{
    std::map<std::string, RankTally> sum;
    for (const auto &caller : callers_) {
        for (const auto &[rank, tally] : caller->tallies()) {
            RankTally &total = sum[rank];
            total.sent_ += tally.sent_;
            total.answered_ += tally.answered_;
            total.inTarget_ += tally.inTarget_;
            total.failed_ += tally.failed_;
            total.notRun_ += tally.notRun_;
            total.unknown_ += tally.unknown_;
            for (const auto &[cause, count] : tally.causes_) {
                total.causes_[cause] += count;
            }
            total.latencies_.insert(total.latencies_.end(), tally.latencies_.begin(),
                                    tally.latencies_.end());
        }
    }
    return sum;
}

} // namespace qz::testing
