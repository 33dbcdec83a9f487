// Tests of how duties for servers are dealt out.
#include "qz_placement/choice/serverroles.h"

#include <boost/test/unit_test.hpp>

using qz::ServerRole;

namespace {

qz::Location makeLocation(const std::string &region, const std::string &domain)
{
    return { qz::RegionId(region), qz::FailureDomainId(domain) };
}

/// Two instances in each of four domains, two of a region.
std::vector<qz::RoleCandidate> makeCandidates()
{
    std::vector<qz::RoleCandidate> candidates;
    for (const std::string domain : { "a1", "a2", "b1", "b2" }) {
        for (const std::string number : { "-1", "-2" }) {
            candidates.push_back(
                    { qz::InstanceId(domain + number), makeLocation(domain.substr(0, 1), domain) });
        }
    }
    return candidates;
}

/// The instances with @p duty for a server of domain a1.
std::vector<std::string> holdersOf(ServerRole duty, const std::string &server,
                                   const std::vector<qz::RoleCandidate> &candidates)
{
    std::vector<std::string> holders;
    for (const auto &candidate : makeCandidates()) {
        qz::ServerRoles duties(candidate.id_);
        duties.setCandidates(candidates);
        if (duties.find(qz::BackendServerId(server), makeLocation("a", "a1")) == duty) {
            holders.push_back(candidate.id_.value());
        }
    }
    return holders;
}

} // namespace

BOOST_AUTO_TEST_CASE(eachServerHasOneOwnerOfItsDomainAndOneDeputyOfItsRegion)
{
    for (int i = 0; i < 50; ++i) {
        const std::string server = "s" + std::to_string(i);
        const auto owners = holdersOf(ServerRole::Owner, server, makeCandidates());
        const auto deputies = holdersOf(ServerRole::Backup, server, makeCandidates());
        BOOST_REQUIRE(owners.size() == 1);
        BOOST_REQUIRE(deputies.size() == 1);
        BOOST_TEST(owners[0].substr(0, 2) == "a1");
        BOOST_TEST(deputies[0].substr(0, 2) == "a2");
    }
}

BOOST_AUTO_TEST_CASE(aDomainWithoutInstancesLeavesItsServersToADeputyOfAnotherRegionIfNeedBe)
{
    auto candidates = makeCandidates();
    candidates.erase(candidates.begin(), candidates.begin() + 4);
    BOOST_TEST(holdersOf(ServerRole::Owner, "s", candidates).empty());
    const auto deputies = holdersOf(ServerRole::Backup, "s", candidates);
    BOOST_REQUIRE(deputies.size() == 1);
    BOOST_TEST(deputies[0].substr(0, 1) == "b");
}

BOOST_AUTO_TEST_CASE(dutiesFollowTheInstances)
{
    const auto owners = holdersOf(ServerRole::Owner, "s", makeCandidates());
    qz::ServerRoles duties{ qz::InstanceId(owners.at(0)) };
    const qz::BackendServerId server("s");
    duties.setCandidates(makeCandidates());
    BOOST_CHECK(duties.find(server, makeLocation("a", "a1")) == ServerRole::Owner);
    duties.setCandidates({});
    BOOST_CHECK(duties.find(server, makeLocation("a", "a1")) == ServerRole::None);
}
