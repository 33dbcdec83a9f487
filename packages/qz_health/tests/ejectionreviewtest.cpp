// Ejection candidates must be confirmed by a second opinion; a gate that is cut off must not cause
// ejections.
#include "qz_health/qz_health.h"

#include "qz_core/time/manualclock.h"

#include <boost/test/unit_test.hpp>

using namespace qz;
using namespace std::chrono_literals;

namespace {

const BackendServerId unhealthy{ "s1" };
const FailureDomainId gateDomain{ "alex-a" };
const FailureDomainId otherDomain{ "cairo-b" };

struct Fixture
{
    GateReport reportOf(const Verdict &verdict) const
    {
        GateReport report;
        report.server_ = unhealthy;
        report.gate_ = InstanceId("i1");
        report.gateDomain_ = gateDomain;
        report.verdict_ = verdict;
        return report;
    }

    ReviewResult reviewWith(const GateReport &report, const SecondOpinion &opinion)
    {
        review_.onReport(report, clock_.now());
        review_.onOpinion(opinion, clock_.now());
        return review_.review(clock_.now());
    }

    ManualClock clock_;
    EjectionReview review_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Review, Fixture)

BOOST_AUTO_TEST_CASE(unreachableServerNeedsOpinionFromAnotherDomain)
{
    const GateReport report = reportOf(Verdict{ Unreachable{}, 1 });
    ReviewResult result = reviewWith(report, { unhealthy, gateDomain, false, false });
    BOOST_TEST(result.candidates_.empty());
    BOOST_TEST_REQUIRE(result.opinionRequests_.size() == 1U);
    BOOST_TEST((result.opinionRequests_[0].excludedDomain_ == gateDomain));
    BOOST_TEST(review_.review(clock_.now()).opinionRequests_.empty());
    result = reviewWith(report, { unhealthy, otherDomain, false, false });
    BOOST_TEST(result.candidates_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(gateMovesIfOnlyGateCannotConnect)
{
    const GateReport report = reportOf(Verdict{ Unreachable{}, 1 });
    const ReviewResult result = reviewWith(report, { unhealthy, otherDomain, true, true });
    BOOST_TEST(result.candidates_.empty());
    BOOST_TEST(result.gateMoves_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(gateWithMostServersUnhealthyMoves)
{
    GateReport report = reportOf(Verdict{ Unreachable{}, 1 });
    report.gateServerCount_ = 5;
    report.gateUnhealthyCount_ = 4;
    const ReviewResult result = reviewWith(report, { unhealthy, otherDomain, false, false });
    BOOST_TEST(result.candidates_.empty());
    BOOST_TEST(result.gateMoves_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(gateMovesIfOnlyItsProbesFail)
{
    GateReport report = reportOf(Verdict{ Slow{ 5 }, 1 });
    report.probesFailing_ = true;
    const ReviewResult result = reviewWith(report, { unhealthy, otherDomain, true, true });
    BOOST_TEST(result.candidates_.empty());
    BOOST_TEST(result.gateMoves_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(successfulProbesDoNotHideFailingRequests)
{
    const GateReport report = reportOf(Verdict{ Failing{ 1 }, 1 });
    const ReviewResult result = reviewWith(report, { unhealthy, otherDomain, true, true });
    BOOST_TEST(result.candidates_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ignoresExpiredReportsAndOpinions)
{
    const GateReport report = reportOf(Verdict{ Failing{ 1 }, 1 });
    reviewWith(report, { unhealthy, otherDomain, true, false });
    clock_.advance(2500ms); // the report has expired, the opinion has not
    BOOST_TEST(review_.review(clock_.now()).candidates_.empty());
    clock_.advance(1500ms);
    BOOST_TEST(review_.review(clock_.now()).candidates_.empty());
    review_.onReport(report, clock_.now());
    BOOST_TEST(review_.review(clock_.now()).candidates_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
