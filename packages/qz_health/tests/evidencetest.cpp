// Evidence about one server and the verdict of the detector.
#include "qz_health/qz_health.h"

#include "qz_core/time/manualclock.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace qz;
using namespace std::chrono_literals;

namespace {

Observation success(const char *kind, Duration latency, TimePoint at)
{
    return Observation{ kind, ObservedResult::Succeeded, latency, at };
}

/// Returns digests of seven healthy servers with requests of a fast and a slow kind.
std::vector<EvidenceDigest> healthyOthers(TimePoint at)
{
    std::vector<EvidenceDigest> digests;
    for (int server = 0; server < 7; ++server) {
        ServerEvidence evidence;
        for (int i = 0; i < 20; ++i) {
            evidence.record(success("light", 20ms + i * 1ms, at));
            evidence.record(success("heavy", 400ms + i * 20ms, at));
        }
        digests.push_back(evidence.digest(at));
    }
    return digests;
}

struct Fixture
{
    Fixture() { evidence_.setBaseline(ServiceBaseline::fromDigests(others_)); }

    Verdict evaluate() const
    {
        return OutlierDetector().evaluate(evidence_.digest(clock_.now()), others_);
    }

    ManualClock clock_;
    std::vector<EvidenceDigest> others_ = healthyOthers(clock_.now());
    ServerEvidence evidence_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Evidence, Fixture)

BOOST_AUTO_TEST_CASE(largestDigestSerializesBelow200Bytes)
{
    EvidenceDigest sent;
    sent.kinds_.fill(KindSummary{ 0xffffffff, 0xffff, -1.1F, 0.3F });
    sent.probe_ = sent.kinds_.front();
    sent.succeeded_ = sent.shed_ = sent.failed_ = sent.timedOut_ = 0xffff;
    sent.connectFailed_ = sent.cut_ = sent.consecutiveErrors_ = 0xffff;
    sent.slowScore_ = sent.failScore_ = sent.connectScore_ = 13.7F;
    sent.probeScore_ = sent.slowFactor_ = -5.3F;
    sent.unhealthyTimeMs_ = 0xffffffff;
    std::stringstream wire;
    msgpack::pack(wire, sent);
    BOOST_TEST(wire.str().size() < 200U);
    const std::string text = wire.str();
    const auto handle = msgpack::unpack(text.data(), text.size());
    const auto got = handle.get().as<EvidenceDigest>();
    BOOST_TEST(got.cut_ == sent.cut_);
    BOOST_TEST(got.kinds_[3].kind_ == sent.kinds_[3].kind_);
    BOOST_TEST(got.probeScore_ == sent.probeScore_);
}

BOOST_AUTO_TEST_CASE(shortPauseDoesNotAllowEjection)
{
    for (int i = 0; i < 20; ++i) {
        clock_.advance(20ms);
        evidence_.record(success("light", 400ms, clock_.now()));
        evidence_.recordProbe(success("", 400ms, clock_.now()));
    }
    BOOST_TEST(evaluate().isSuspect());
    BOOST_TEST(!evaluate().allowsEjection());
}

BOOST_AUTO_TEST_CASE(slowRequestKindDoesNotMakeServerUnhealthy)
{
    for (int i = 0; i < 50; ++i) {
        clock_.advance(100ms);
        evidence_.record(success("heavy", 450ms, clock_.now()));
    }
    BOOST_TEST(!evaluate().isUnhealthy());
}

BOOST_AUTO_TEST_CASE(slowServerIsSuspectBeforeEjection)
{
    for (int i = 0; i < 3; ++i) {
        clock_.advance(100ms);
        evidence_.record(success("light", 300ms, clock_.now()));
    }
    BOOST_TEST(evaluate().isSuspect());
    BOOST_TEST(!evaluate().allowsEjection());
    for (int i = 0; i < 8; ++i) {
        clock_.advance(200ms);
        evidence_.record(success("light", 300ms, clock_.now()));
    }
    BOOST_TEST(evaluate().allowsEjection());
    BOOST_TEST(std::holds_alternative<Slow>(evaluate().state_));
}

BOOST_AUTO_TEST_CASE(overdueRequestInFlightMakesServerSuspect)
{
    evidence_.begin("light", clock_.now());
    BOOST_TEST(!evaluate().isUnhealthy());
    clock_.advance(500ms);
    BOOST_TEST(evaluate().isSuspect());
}

BOOST_AUTO_TEST_CASE(serviceWideSlownessDoesNotMakeServerUnhealthy)
{
    for (EvidenceDigest &other : others_) {
        other.slowScore_ = 20;
    }
    for (int i = 0; i < 30; ++i) {
        clock_.advance(100ms);
        evidence_.record(success("light", 300ms, clock_.now()));
    }
    BOOST_TEST(!evaluate().isUnhealthy());
}

BOOST_AUTO_TEST_CASE(probesAloneDoNotDecideEjection)
{
    for (int i = 0; i < 30; ++i) {
        clock_.advance(100ms);
        evidence_.recordProbe(Observation{ "", ObservedResult::Failed, 25ms, clock_.now() });
        evidence_.record(success("light", 25ms, clock_.now()));
    }
    BOOST_TEST(!evaluate().isUnhealthy());
    for (int i = 0; i < 30; ++i) {
        clock_.advance(100ms);
        evidence_.recordProbe(success("", 25ms, clock_.now()));
        evidence_.record(Observation{ "light", ObservedResult::Failed, 5ms, clock_.now() });
    }
    BOOST_TEST(evaluate().allowsEjection());
    BOOST_TEST(std::holds_alternative<Failing>(evaluate().state_));
}

BOOST_AUTO_TEST_CASE(failedConnectsMakeServerUnreachable)
{
    for (int i = 0; i < 8; ++i) {
        clock_.advance(200ms);
        evidence_.record(Observation{ "light", ObservedResult::ConnectFailed, 1ms, clock_.now() });
    }
    BOOST_TEST(std::holds_alternative<Unreachable>(evaluate().state_));
    BOOST_TEST(evaluate().allowsEjection());
}

BOOST_AUTO_TEST_SUITE_END()
