// The cases of each promise, each a fleet of separate processes.
#include "testbed/promisecases.h"

#include "testbed/testbed.h"

#include <csignal>
#include <functional>

namespace qz::testing {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int fleetSize = 8;
constexpr double loadPerSecond = 250;
constexpr Duration startLimit = 30s;
constexpr Duration settleLimit = 20s;

Testbed::Plan makePlan(const ProofContext &context, const std::string &faultPoint,
                       const std::string &name)
{
    Testbed::Plan plan;
    plan.daemon_ = faultPoint.empty() ? context.daemon_ : context.faultyDaemon_;
    plan.faultPoint_ = faultPoint;
    plan.logDirectory_ = context.logs_ + "/" + name + (faultPoint.empty() ? "" : "-" + faultPoint);
    plan.instances_ = fleetSize;
    plan.seed_ = context.seed_;
    plan.daemonFlags_ = { "--address-keep-ms=1000", "--gate-drain-grace-ms=700",
                          "--drain-grace-ms=2000", "--drain-limit-ms=15000" };
    return plan;
}

/// Starts the fleet, runs @p attack under load, lets all requests end and counts what
/// @p count finds.
ProofOutcome runUnderLoad(const Testbed::Plan &plan, const std::function<void(Testbed &)> &attack,
                          const std::function<int(const Violations &)> &count)
{
    ProofOutcome outcome;
    outcome.cases_ = 1;
    Testbed testbed(plan);
    if (!testbed.start(startLimit)) {
        outcome.violations_ = 1;
        outcome.example_ = "the fleet did not start";
        return outcome;
    }
    testbed.startCallers(loadPerSecond);
    testbed.loop().runFor(1s);
    attack(testbed);
    testbed.loop().runFor(1s);
    testbed.stopCallers();
    testbed.settle(settleLimit);
    const Violations violations = testbed.findViolations();
    outcome.violations_ = count(violations);
    outcome.example_ = outcome.violations_ > 0 ? violations.example_ : "";
    int sent = 0;
    int answered = 0;
    for (const auto &[rank, tally] : testbed.tallies()) {
        sent += tally.sent_;
        answered += tally.answered_;
    }
    outcome.note_ = std::to_string(answered) + " of " + std::to_string(sent) + " answered";
    return outcome;
}

void add(ProofOutcome &sum, const ProofOutcome &part)
{
    sum.cases_ += part.cases_;
    sum.violations_ += part.violations_;
    sum.example_ = sum.example_.empty() ? part.example_ : sum.example_;
    sum.note_ += (sum.note_.empty() ? "" : "; ") + part.note_;
}

void killOne(Testbed &testbed)
{
    testbed.instances()[5].process_->send(SIGKILL);
}

void freezeOne(Testbed &testbed)
{
    testbed.instances()[2].process_->send(SIGSTOP);
    testbed.loop().runFor(2s);
    testbed.instances()[2].process_->send(SIGCONT);
}

/// Every fourth backend server runs requests and closes without an answer.
void cutAnswers(Testbed &testbed)
{
    BackendBehavior cutting;
    cutting.cutsAnswers_ = true;
    for (std::size_t i = 0; i < testbed.backends().size(); i += 4) {
        testbed.backends()[i]->setBehavior(cutting);
    }
    testbed.loop().runFor(2s);
}

void setPlatformFault(Testbed &testbed, PlatformStandIn::Fault fault, Duration time)
{
    testbed.platform().setFault(fault);
    testbed.loop().runFor(time);
    testbed.platform().setFault(PlatformStandIn::Fault::None);
}

} // namespace

ProofOutcome proveOwnAnswer(const ProofContext &context, const std::string &faultPoint)
{
    const auto count = [](const Violations &violations) { return violations.wrongAnswers_; };
    const auto plan = makePlan(context, faultPoint, "own-answer");
    ProofOutcome outcome;
    add(outcome, runUnderLoad(plan, killOne, count));
    add(outcome, runUnderLoad(plan, freezeOne, count));
    return outcome;
}

ProofOutcome proveNotRun(const ProofContext &context, const std::string &faultPoint)
{
    const auto count = [](const Violations &violations) { return violations.falseNotRun_; };
    const auto plan = makePlan(context, faultPoint, "not-run");
    ProofOutcome outcome;
    add(outcome, runUnderLoad(plan, cutAnswers, count));
    add(outcome, runUnderLoad(plan, killOne, count));
    return outcome;
}

ProofOutcome proveAtMostOnce(const ProofContext &context, const std::string &faultPoint)
{
    const auto count = [](const Violations &violations) { return violations.doubled_; };
    auto plan = makePlan(context, faultPoint, "at-most-once");
    plan.duplicateShare_ = 0.5;
    ProofOutcome outcome;
    add(outcome, runUnderLoad(plan, freezeOne, count));
    add(outcome,
        runUnderLoad(
                plan,
                [](Testbed &testbed) {
                    setPlatformFault(testbed, PlatformStandIn::Fault::LoseAnswers, 1500ms);
                    setPlatformFault(testbed, PlatformStandIn::Fault::Down, 1500ms);
                    killOne(testbed);
                },
                count));
    return outcome;
}

namespace {

constexpr Duration leavingLimit = 3s;

/// Backend servers that started work later than @p leftAt and the limit allow.
int countLateStarts(Testbed &testbed, const std::vector<std::size_t> &servers, TimePoint leftAt,
                    ProofOutcome &outcome)
{
    int late = 0;
    for (const std::size_t server : servers) {
        if (testbed.backends()[server]->lastStart() > leftAt + leavingLimit) {
            ++late;
            outcome.example_ =
                    testbed.listedBackends()[server].id_.value() + " got work after the limit";
        }
    }
    return late;
}

std::string drainDocument(const Deployment &deployment, const BackendServerId &server)
{
    json document = json::parse(deployment.rulesDocument());
    document["backend_servers"].push_back(
            { { "name", server.value() }, { "labels", { { "drain", "true" } } } });
    return document.dump();
}

} // namespace

ProofOutcome proveLeaving(const ProofContext &context, const std::string &faultPoint)
{
    const auto plan = makePlan(context, faultPoint, "leaving");
    Testbed testbed(plan);
    ProofOutcome outcome;
    outcome.cases_ = 3;
    if (!testbed.start(startLimit)) {
        outcome.violations_ = 1;
        return outcome;
    }
    constexpr std::size_t listed = 0;
    constexpr std::size_t labelled = 9;
    constexpr std::size_t announcing = 18;
    testbed.startCallers(loadPerSecond);
    testbed.loop().runFor(1s);
    BackendBehavior draining;
    draining.isDraining_ = true;
    const TimePoint leftAt = testbed.loop().now();
    testbed.listLeaving(testbed.listedBackends()[listed].id_);
    testbed.backends()[announcing]->setBehavior(draining);
    killOne(testbed);
    const auto document = drainDocument(plan.deployment_, testbed.listedBackends()[labelled].id_);
    const RulesVersion version = testbed.putRules(0, 1, document, 5s);
    const TimePoint labelledAt = testbed.loop().now();
    testbed.loop().runFor(6s);
    testbed.stopCallers();
    testbed.settle(settleLimit);
    outcome.violations_ = countLateStarts(testbed, { listed, announcing }, leftAt, outcome)
            + countLateStarts(testbed, { labelled }, labelledAt, outcome);
    if (version == 0) {
        ++outcome.violations_;
        outcome.example_ = "the drain label was not accepted";
    }
    return outcome;
}

namespace {

/// Requests that a planned stop cut: any unknown outcome, and any answer that did not come.
int countCut(Testbed &testbed, ProofOutcome &outcome)
{
    int cut = 0;
    for (const auto &[rank, tally] : testbed.tallies()) {
        cut += tally.unknown_;
        for (const auto &[cause, count] : tally.causes_) {
            outcome.note_ += " " + cause + "=" + std::to_string(count);
        }
    }
    return cut;
}

} // namespace

ProofOutcome proveGracefulStop(const ProofContext &context, const std::string &faultPoint)
{
    Testbed testbed(makePlan(context, faultPoint, "graceful-stop"));
    ProofOutcome outcome;
    outcome.cases_ = 2;
    if (!testbed.start(startLimit)) {
        outcome.violations_ = 1;
        return outcome;
    }
    testbed.startCallers(loadPerSecond);
    testbed.loop().runFor(1s);
    testbed.instances()[0].process_->send(SIGTERM);
    testbed.loop().runFor(4s);
    for (std::size_t i = 1; i < fleetSize / 2; ++i) {
        testbed.instances()[i].process_->send(SIGTERM);
    }
    testbed.loop().runFor(5s);
    testbed.stopCallers();
    testbed.settle(settleLimit);
    outcome.violations_ = countCut(testbed, outcome);
    for (std::size_t i = 0; i < fleetSize / 2; ++i) {
        DaemonProcess &process = *testbed.instances()[i].process_;
        if (!process.hasEnded() || process.exitStatus() != 0) {
            ++outcome.violations_;
            outcome.example_ = testbed.instances()[i].id_.value() + " did not end well";
        }
    }
    return outcome;
}

namespace {

/// Waits until all instances work by @p version; false at the limit.
bool awaitInForce(Testbed &testbed, RulesVersion version, Duration limit)
{
    const TimePoint end = testbed.loop().now() + limit;
    while (testbed.loop().now() < end) {
        if (testbed.isInForceEverywhere(version)) {
            return true;
        }
        testbed.loop().runFor(50ms);
    }
    return false;
}

void note(ProofOutcome &outcome, bool holds, const std::string &what)
{
    ++outcome.cases_;
    if (!holds) {
        ++outcome.violations_;
        outcome.example_ = what;
    }
}

} // namespace

ProofOutcome proveConfiguration(const ProofContext &context, const std::string &faultPoint)
{
    constexpr Duration inForceLimit = 5s;
    const auto plan = makePlan(context, faultPoint, "configuration");
    Testbed testbed(plan);
    ProofOutcome outcome;
    if (!testbed.start(startLimit)) {
        outcome.violations_ = 1;
        return outcome;
    }
    const std::string document = plan.deployment_.rulesDocument();
    const auto changed = drainDocument(plan.deployment_, testbed.listedBackends()[0].id_);
    const RulesVersion second = testbed.putRules(1, 1, changed, inForceLimit);
    note(outcome, second == 2, "a change was not accepted");
    note(outcome, awaitInForce(testbed, 2, inForceLimit), "version 2 was not in force in time");
    const RulesVersion late = testbed.putRules(2, 1, document, inForceLimit);
    note(outcome, late == 0, "a change of an old version was accepted");
    const RulesVersion third = testbed.putRules(3, 2, document, inForceLimit);
    testbed.platform().setFault(PlatformStandIn::Fault::Down);
    note(outcome, third == 3 && awaitInForce(testbed, 3, inForceLimit),
         "version 3 was not in force in time, with an outage right after");
    testbed.instances()[6].process_->send(SIGKILL);
    testbed.loop().runFor(200ms);
    testbed.startInstance(6);
    testbed.loop().runFor(6s);
    note(outcome,
         testbed.operate(6, "/operator/status").value("rules_version", RulesVersion(0)) <= 3,
         "an instance started in the outage has another version");
    note(outcome, testbed.operate(0, "/operator/status").value("in_force", false),
         "an instance gave up its rules in an outage of the platform alone");
    testbed.platform().setFault(PlatformStandIn::Fault::None);
    note(outcome, awaitInForce(testbed, 3, inForceLimit),
         "version 3 is not in force after the outage");
    return outcome;
}

} // namespace qz::testing
