// Tests of the server choice policies.
#include "qz_entries/choice/serverchooser.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace {

using std::chrono::milliseconds;

const qz::Location alexA{ qz::RegionId("alex"), qz::FailureDomainId("alex-a") };
const qz::Location cairoA{ qz::RegionId("cairo"), qz::FailureDomainId("cairo-a") };

qz::ServerCandidate makeCandidate(const std::string &id, const qz::Location &location,
                                  qz::Duration wait = {}, double weight = 1.0)
{
    const bool isLocal = location.region_ == alexA.region_;
    qz::ServerCandidate candidate;
    candidate.id_ = qz::BackendServerId(id);
    candidate.location_ = location;
    candidate.weight_ = weight;
    candidate.digest_ = qz::QueueDigest{ 0, 0, 2, { wait, wait }, {} };
    candidate.roundTrip_ = milliseconds(isLocal ? 2 : 24);
    return candidate;
}

const qz::ServerRequest request{ alexA, 0, milliseconds(200), milliseconds(30) };

std::map<std::string, int> countChoices(const qz::ChoicePolicy &policy,
                                        const std::vector<qz::ServerCandidate> &candidates,
                                        int draws = 3000)
{
    std::mt19937_64 generator(7);
    const qz::ServerChooser chooser(policy);
    std::map<std::string, int> counts;
    for (int i = 0; i < draws; ++i) {
        const auto index = chooser.choose(candidates, request, generator);
        ++counts[index ? candidates[*index].id_.value() : "none"];
    }
    return counts;
}

const std::vector<qz::ChoicePolicy> allPolicies{ qz::RandomChoice(), qz::PowerOfTwoChoice(),
                                                 qz::LocalFirstChoice() };

} // namespace

BOOST_AUTO_TEST_SUITE(serverChooser)

BOOST_AUTO_TEST_CASE(neverChoosesACandidateWithWeightZero)
{
    for (const auto &policy : allPolicies) {
        const auto counts = countChoices(policy,
                                         { makeCandidate("out", alexA, {}, 0.0),
                                           makeCandidate("in", cairoA, milliseconds(900)) });
        BOOST_TEST(counts.at("in") == 3000);
        BOOST_TEST(countChoices(policy, { makeCandidate("out", alexA, {}, 0.0) }).at("none")
                   == 3000);
        BOOST_TEST(countChoices(policy, {}).at("none") == 3000);
    }
}

BOOST_AUTO_TEST_CASE(theSameSeedGivesTheSameChoices)
{
    std::vector<qz::ServerCandidate> candidates;
    candidates.reserve(8);
    for (int i = 0; i < 8; ++i) {
        candidates.push_back(makeCandidate(std::to_string(i), alexA, milliseconds(i)));
    }
    for (const auto &policy : allPolicies) {
        BOOST_TEST((countChoices(policy, candidates) == countChoices(policy, candidates)));
    }
}

BOOST_AUTO_TEST_CASE(aWarmingServerGetsRequestsInProportionToItsWeight)
{
    for (const auto &policy : allPolicies) {
        std::vector<qz::ServerCandidate> candidates{ makeCandidate("cold", alexA, {}, 0.1) };
        for (int i = 0; i < 9; ++i) {
            candidates.push_back(makeCandidate("warm-" + std::to_string(i), alexA));
        }
        const auto counts = countChoices(policy, candidates, 9100);
        BOOST_TEST(counts.at("cold") > 50);
        BOOST_TEST(counts.at("cold") < 250); // A server with full weight would get about 1,000.
    }
}

BOOST_AUTO_TEST_CASE(choosesTheShorterOfTwoQueues)
{
    const std::vector<qz::ServerCandidate> candidates{
        makeCandidate("long", alexA, milliseconds(50)),
        makeCandidate("short", alexA, milliseconds(10)),
    };
    BOOST_TEST(countChoices(qz::PowerOfTwoChoice(), candidates).at("short") == 3000);
    BOOST_TEST(countChoices(qz::LocalFirstChoice(), candidates).at("short") == 3000);
    BOOST_TEST(countChoices(qz::RandomChoice(), candidates).at("long") > 1000);
}

BOOST_AUTO_TEST_CASE(choosesLocalWhileItMeetsTheTarget)
{
    const auto counts = countChoices(
            qz::LocalFirstChoice(),
            { makeCandidate("local", alexA, milliseconds(150)), makeCandidate("remote", cairoA) });
    BOOST_TEST(counts.at("local") == 3000);
}

BOOST_AUTO_TEST_CASE(choosesRemoteIfLocalMissesTheTarget)
{
    const auto counts = countChoices(qz::LocalFirstChoice(),
                                     { makeCandidate("local", alexA, milliseconds(180)),
                                       makeCandidate("remote", cairoA, milliseconds(50)) });
    BOOST_TEST(counts.at("remote") == 3000);
}

BOOST_AUTO_TEST_CASE(choosesLocalIfRemoteIsOnlySlightlyFaster)
{
    const auto counts = countChoices(qz::LocalFirstChoice(),
                                     { makeCandidate("local", alexA, milliseconds(180)),
                                       makeCandidate("remote", cairoA, milliseconds(60)) });
    BOOST_TEST(counts.at("local") == 3000);
}

BOOST_AUTO_TEST_CASE(choosesLocalIfBothMissTheTarget)
{
    const auto counts = countChoices(qz::LocalFirstChoice(),
                                     { makeCandidate("local", alexA, milliseconds(900)),
                                       makeCandidate("remote", cairoA, milliseconds(180)) });
    BOOST_TEST(counts.at("local") == 3000);
}

BOOST_AUTO_TEST_CASE(aDigestCountsLessWithAge)
{
    auto old = makeCandidate("old", alexA, milliseconds(100));
    const auto recent = makeCandidate("recent", alexA, milliseconds(20));
    old.digest_->age_ = milliseconds(500);
    BOOST_TEST(countChoices(qz::PowerOfTwoChoice(), { old, recent }).at("recent") == 3000);
    old.digest_->age_ = milliseconds(3000);
    BOOST_TEST(countChoices(qz::PowerOfTwoChoice(), { old, recent }).at("old") == 3000);
}

BOOST_AUTO_TEST_SUITE_END()
