// Measures how fast unhealthy servers are detected and how often healthy ones are ejected.
// Simulates eight servers on a manual clock, each with its gate's evidence, detector and weight,
// without processes or sockets. Prints a table.
//
// Usage: qz_health_detection [seeds [healthy-minutes-per-server-and-case]]
#include "qz_health/qz_health.h"

#include "qz_core/time/manualclock.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace qz;
using namespace std::chrono_literals;

namespace {

enum class Fault { None, Slow3, Slow10, HalfFail, NeverAnswers, OneWay, Flapping };
enum class Load { Calm, Noise, Busy, HeavyTails, Flood, ColdStart, GateCut, MisleadingProbes };

struct Scenario
{
    const char *name_;
    Fault fault_;
    Load load_;
    int slots_;
    double ratePerServer_; ///< Requests per second.
};

struct Policy
{
    const char *name_;
    OutlierDetector detector_;
};

constexpr Duration tick = 10ms;
constexpr Duration digestPeriod = 200ms;
constexpr Duration requestTimeout = 2s;
constexpr Duration probeTimeout = 250ms;
constexpr Duration secondOpinionDelay = 150ms;
constexpr Duration warmUp = 40s;
constexpr int serverCount = 8;
constexpr int faultyServer = 3;

struct InFlightRequest
{
    ServerEvidence::InFlightId id_ = 0;
    std::string kind_;
    TimePoint since_;
    TimePoint endsAt_;
    ObservedResult result_ = ObservedResult::Succeeded;
};

struct Server
{
    ServerEvidence evidence_;
    WeightController weights_;
    ProbeScheduler probeScheduler_;
    std::vector<InFlightRequest> inFlight_;
    std::optional<InFlightRequest> probe_;
    Verdict verdict_;
    EvidenceDigest digest_;
    std::optional<TimePoint> ejectedAt_;
    std::optional<TimePoint> lowWeightAt_; ///< When its weight first fell below 0.1.
    std::optional<TimePoint> opinionAt_;   ///< Arrival time of a requested second opinion.
    TimePoint pausedUntil_;
};

class Simulation
{
public:
    Simulation(const Scenario &scenario, OutlierDetector detector, unsigned seed)
        : scenario_(scenario)
        , detector_(detector)
        , random_(seed)
    {
    }

    /// Runs the warm-up, and then the fault for @p length.
    void run(Duration length)
    {
        const TimePoint warmUpEnd = clock_.now() + warmUp;
        faultAt_ = warmUpEnd + std::chrono::milliseconds(random_() % 1000);
        const TimePoint end = faultAt_ + length;
        while (clock_.now() < end) {
            clock_.advance(tick);
            step();
        }
    }

    std::optional<Duration> timeOf(std::optional<TimePoint> Server::*moment) const
    {
        const auto at = servers_[faultyServer].*moment;
        return at ? std::optional<Duration>(*at - faultAt_) : std::nullopt;
    }

    /// Returns the number of ejections of healthy servers.
    int falseEjections() const { return falseEjections_; }
    int gateMoves() const { return gateMoves_; }

private:
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
    bool isFaulty(std::size_t index) const
    {
        const bool isOn = index == faultyServer && clock_.now() >= faultAt_;
        const auto phase = (clock_.now() - faultAt_) / 3s;
        return isOn && scenario_.fault_ != Fault::None
                && (scenario_.fault_ != Fault::Flapping || phase % 2 == 0);
    }

    void step()
    {
        completeRequests();
        dispatch();
        pause();
        if (clock_.now().time_since_epoch() % digestPeriod < tick) {
            exchangeDigests();
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            evaluate(i);
        }
    }

    void dispatch()
    {
        const double busy = scenario_.load_ == Load::Busy ? 0.95 * capacityRate() : 0;
        const double flood = scenario_.load_ == Load::Flood ? 5 * capacityRate() : 0;
        const double rate = std::max({ scenario_.ratePerServer_, busy, flood });
        const double seconds = std::chrono::duration<double>(tick).count();
        const double expected = rate * serverCount * seconds;
        const int arrivals = std::poisson_distribution<>(expected)(random_);
        for (int i = 0; i < arrivals; ++i) {
            sendTo(chooseServer());
        }
    }

    /// Returns the requests per second that one server can complete.
    double capacityRate() const { return scenario_.slots_ / 0.085; }

    std::size_t chooseServer()
    {
        std::array<double, serverCount> weights{};
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const bool isFull = static_cast<int>(servers_[i].inFlight_.size()) >= scenario_.slots_;
            weights[i] = servers_[i].ejectedAt_ || isFull ? 0 : servers_[i].weights_.weight();
        }
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
    }

    void sendTo(std::size_t index)
    {
        Server &server = servers_[index];
        if (static_cast<int>(server.inFlight_.size()) >= scenario_.slots_) {
            return; // refused: all slots are in use
        }
        const bool isHeavy = uniform() < 0.2;
        const double spread = scenario_.load_ == Load::HeavyTails ? 1.0 : 0.5;
        const double median = isHeavy ? 0.2 : 0.04;
        const double work = std::lognormal_distribution<>(std::log(median), spread)(random_);
        InFlightRequest request = makeRequest(index, work, requestTimeout);
        request.kind_ = isHeavy ? "heavy" : "light";
        request.id_ = server.evidence_.begin(request.kind_, clock_.now());
        server.inFlight_.push_back(request);
    }

    InFlightRequest makeRequest(std::size_t index, double seconds, Duration timeout)
    {
        const bool isUnhealthy = isFaulty(index);
        const Fault fault = isUnhealthy ? scenario_.fault_ : Fault::None;
        double factor = fault == Fault::Slow3 ? 3 : 1;
        factor = fault == Fault::Slow10 || fault == Fault::Flapping ? 10 : factor;
        if (scenario_.load_ == Load::ColdStart && index == faultyServer) {
            const std::chrono::duration<double> age = clock_.now() - faultAt_;
            factor *= age.count() >= 0 ? 1 + 0.8 * std::exp(-age.count() / 5) : 1;
        }
        InFlightRequest request;
        request.since_ = clock_.now();
        auto duration = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(seconds * factor));
        duration += std::max(servers_[index].pausedUntil_ - clock_.now(), Duration(0));
        const double failing = fault == Fault::HalfFail ? 0.5 : noiseFailures();
        request.result_ = uniform() < failing ? ObservedResult::Failed : ObservedResult::Succeeded;
        if (fault == Fault::OneWay || isGateCut(index)) {
            request.result_ = ObservedResult::ConnectFailed;
            duration = 100ms;
        }
        if (fault == Fault::NeverAnswers || duration > timeout) {
            request.result_ = ObservedResult::TimedOut;
            duration = timeout;
        }
        request.endsAt_ = clock_.now() + duration;
        return request;
    }

    /// Returns true while the gate of the first two servers is cut off: five seconds per minute.
    bool isGateCut(std::size_t index) const
    {
        const auto inMinute = clock_.now().time_since_epoch() % 1min;
        return scenario_.load_ == Load::GateCut && index < 2 && inMinute < 5s
                && clock_.now() >= faultAt_;
    }

    double noiseFailures() const { return scenario_.load_ == Load::Noise ? 0.02 : 0.002; }

    /// Pauses servers at random, as garbage collection does.
    void pause()
    {
        if (scenario_.load_ != Load::Noise) {
            return;
        }
        constexpr double pausesPerSecond = 1.0 / 30;
        for (Server &server : servers_) {
            const double seconds = std::chrono::duration<double>(tick).count();
            if (uniform() >= pausesPerSecond * seconds) {
                continue;
            }
            const Duration length = std::chrono::milliseconds(100 + random_() % 400);
            server.pausedUntil_ = clock_.now() + length;
            for (InFlightRequest &request : server.inFlight_) {
                request.endsAt_ += length;
            }
        }
    }

    void completeRequests()
    {
        for (Server &server : servers_) {
            const auto isOver = [&](const InFlightRequest &request) {
                return request.endsAt_ <= clock_.now();
            };
            for (const InFlightRequest &request : server.inFlight_) {
                if (isOver(request)) {
                    server.evidence_.end(request.id_, observe(request));
                }
            }
            auto &inFlight = server.inFlight_;
            inFlight.erase(std::remove_if(inFlight.begin(), inFlight.end(), isOver),
                           inFlight.end());
            if (server.probe_ && isOver(*server.probe_)) {
                server.evidence_.recordProbe(observe(*server.probe_));
                server.probeScheduler_.probeEnded();
                server.probe_.reset();
            }
        }
    }

    Observation observe(const InFlightRequest &request) const
    {
        return Observation{ request.kind_, request.result_, request.endsAt_ - request.since_,
                            clock_.now() };
    }

    std::vector<EvidenceDigest> othersOf(std::size_t index) const
    {
        std::vector<EvidenceDigest> others;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            if (i != index && !servers_[i].ejectedAt_) {
                others.push_back(servers_[i].digest_);
            }
        }
        return others;
    }

    void exchangeDigests()
    {
        for (Server &server : servers_) {
            server.digest_ = server.evidence_.digest(clock_.now());
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            servers_[i].evidence_.setBaseline(ServiceBaseline::fromDigests(othersOf(i)));
        }
    }

    void evaluate(std::size_t index)
    {
        Server &server = servers_[index];
        if (clock_.now() < faultAt_ - 1s || server.ejectedAt_) {
            return;
        }
        server.verdict_ =
                detector_.evaluate(server.evidence_.digest(clock_.now()), othersOf(index));
        server.weights_.update(server.verdict_, clock_.now());
        if (server.probeScheduler_.shouldProbe(server.verdict_, clock_.now())) {
            server.probe_ =
                    makeRequest(index, 0.025 * std::exp(0.1 * (uniform() - 0.5)), probeTimeout);
        }
        const bool hasLowWeight = server.weights_.weight() < 0.1;
        if (clock_.now() >= faultAt_ && hasLowWeight && !server.lowWeightAt_) {
            server.lowWeightAt_ = clock_.now();
        }
        if (server.verdict_.allowsEjection()) {
            reviewForEjection(index);
        }
    }

    /// Ejects the server if the review allows it. A second opinion arrives after
    /// secondOpinionDelay.
    void reviewForEjection(std::size_t index)
    {
        Server &server = servers_[index];
        GateReport report;
        report.server_ = BackendServerId(std::to_string(index));
        report.gateDomain_ = FailureDomainId("gate");
        report.verdict_ = server.verdict_;
        report.probesFailing_ = server.digest_.probeScore_ > 0;
        review_.onReport(report, clock_.now());
        if (server.opinionAt_ && *server.opinionAt_ <= clock_.now()) {
            review_.onOpinion(opinionOf(index), clock_.now());
            server.opinionAt_.reset();
        }
        const ReviewResult result = review_.review(clock_.now());
        for (const OpinionRequest &request : result.opinionRequests_) {
            servers_[std::stoul(request.server_.value())].opinionAt_ =
                    clock_.now() + secondOpinionDelay;
        }
        for (const GateMove &move : result.gateMoves_) {
            ++gateMoves_;
            review_.remove(move.server_);
            servers_[std::stoul(move.server_.value())].evidence_.reset(clock_.now());
        }
        for (const EjectionCandidate &candidate : result.candidates_) {
            eject(std::stoul(candidate.server_.value()));
        }
    }

    SecondOpinion opinionOf(std::size_t index) const
    {
        const Fault fault = isFaulty(index) ? scenario_.fault_ : Fault::None;
        const bool isGood = fault == Fault::None && !hasMisleadingProbes(index);
        return SecondOpinion{ BackendServerId(std::to_string(index)), FailureDomainId("other"),
                              fault != Fault::OneWay, isGood };
    }

    /// Returns true if probes by other instances fail although requests to the server succeed.
    bool hasMisleadingProbes(std::size_t index) const
    {
        return scenario_.load_ == Load::MisleadingProbes && index < 2;
    }

    void eject(std::size_t index)
    {
        review_.remove(BackendServerId(std::to_string(index)));
        if (index == faultyServer && scenario_.fault_ != Fault::None) {
            servers_[index].ejectedAt_ = clock_.now();
            return;
        }
        ++falseEjections_;
        servers_[index].evidence_.reset(clock_.now());
    }

    Scenario scenario_;
    OutlierDetector detector_;
    std::mt19937_64 random_;
    ManualClock clock_;
    std::array<Server, serverCount> servers_;
    TimePoint faultAt_;
    EjectionReview review_;
    int falseEjections_ = 0;
    int gateMoves_ = 0;
};

std::string spreadOf(std::vector<std::optional<Duration>> times)
{
    std::sort(times.begin(), times.end(),
              [](const auto &a, const auto &b) { return a && (!b || *a < *b); });
    std::string text;
    for (const std::size_t at : { std::size_t(0), times.size() / 2, times.size() - 1 }) {
        std::array<char, 16> field{};
        const auto value = times[at];
        const double seconds = value ? std::chrono::duration<double>(*value).count() : 0;
        std::snprintf(field.data(), field.size(), value ? "%6.2f " : " never ", seconds);
        text += field.data();
    }
    return text;
}

void measureDetection(const Policy &policy, const Scenario &scenario, unsigned seeds)
{
    std::vector<std::optional<Duration>> low;
    std::vector<std::optional<Duration>> ejected;
    int wrong = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        Simulation simulation(scenario, policy.detector_, seed);
        simulation.run(30s);
        low.push_back(simulation.timeOf(&Server::lowWeightAt_));
        ejected.push_back(simulation.timeOf(&Server::ejectedAt_));
        wrong += simulation.falseEjections();
    }
    std::printf(
            "%-12s %-15s %d slots %4.0f/s  share<0.1 s: %s  ejected s: %s  others ejected: %d\n",
            policy.name_, scenario.name_, scenario.slots_, scenario.ratePerServer_,
            spreadOf(low).c_str(), spreadOf(ejected).c_str(), wrong);
}

void measureFalseEjections(const Policy &policy, const Scenario &scenario, int minutes)
{
    Simulation simulation(scenario, policy.detector_, 1);
    simulation.run(std::chrono::minutes(minutes));
    std::printf("%-12s %-15s %d slots %4.0f/s  false ejections: %d in %d healthy server-minutes, "
                "gate moves: %d\n",
                policy.name_, scenario.name_, scenario.slots_, scenario.ratePerServer_,
                simulation.falseEjections(), minutes * serverCount, simulation.gateMoves());
}

} // namespace

int main(int argc, char **argv)
{
    const unsigned seeds = argc > 1 ? static_cast<unsigned>(std::strtoul(argv[1], nullptr, 10)) : 5;
    const int minutes = argc > 2 ? static_cast<int>(std::strtol(argv[2], nullptr, 10)) : 60;
    const std::array policies{
        Policy{ "relative", OutlierDetector() },
        Policy{ "consecutive", OutlierDetector(ConsecutiveErrorsDetector()) },
        Policy{ "success-rate", OutlierDetector(SuccessRateDetector()) },
    };
    constexpr std::array faults{
        std::pair("slow 3x", Fault::Slow3),         std::pair("slow 10x", Fault::Slow10),
        std::pair("half failing", Fault::HalfFail), std::pair("never answers", Fault::NeverAnswers),
        std::pair("one-way cut", Fault::OneWay),    std::pair("flapping", Fault::Flapping),
    };
    constexpr std::array loads{
        std::pair("calm", Load::Calm),        std::pair("noise", Load::Noise),
        std::pair("load 95 %", Load::Busy),   std::pair("heavy tails", Load::HeavyTails),
        std::pair("flood", Load::Flood),      std::pair("cold start", Load::ColdStart),
        std::pair("cut gate", Load::GateCut), std::pair("lying probes", Load::MisleadingProbes),
    };
    std::printf("times: min, median, max over %u seeds\n", seeds);
    for (const Policy &policy : policies) {
        for (const auto &[name, fault] : faults) {
            measureDetection(policy, { name, fault, Load::Calm, 2, 2 }, seeds);
            measureDetection(policy, { name, fault, Load::Calm, 4, 8 }, seeds);
        }
        for (const auto &[name, load] : loads) {
            measureFalseEjections(policy, { name, Fault::None, load, 2, 2 }, minutes);
        }
    }
    return 0;
}
