// Tests of the assignment of owners and backups to servers.
#include "qz_placement/choice/serverroles.h"

#include <boost/test/unit_test.hpp>

using qz::ServerRole;

namespace {

qz::Location makeLocation(const std::string &region, const std::string &domain)
{
    return { qz::RegionId(region), qz::FailureDomainId(domain) };
}

/// Returns two instances in each of four domains. Each region has two domains.
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

/// Returns the instances with @p role for a server of domain a1.
std::vector<std::string> instancesWith(ServerRole role, const std::string &server,
                                       const std::vector<qz::RoleCandidate> &candidates)
{
    std::vector<std::string> instances;
    for (const auto &candidate : makeCandidates()) {
        qz::ServerRoles roles(candidate.id_);
        roles.setCandidates(candidates);
        if (roles.find(qz::BackendServerId(server), makeLocation("a", "a1")) == role) {
            instances.push_back(candidate.id_.value());
        }
    }
    return instances;
}

} // namespace

BOOST_AUTO_TEST_CASE(eachServerHasAnOwnerInItsDomainAndABackupInItsRegion)
{
    for (int i = 0; i < 50; ++i) {
        const std::string server = "s" + std::to_string(i);
        const auto owners = instancesWith(ServerRole::Owner, server, makeCandidates());
        const auto backups = instancesWith(ServerRole::Backup, server, makeCandidates());
        BOOST_REQUIRE(owners.size() == 1);
        BOOST_REQUIRE(backups.size() == 1);
        BOOST_TEST(owners[0].substr(0, 2) == "a1");
        BOOST_TEST(backups[0].substr(0, 2) == "a2");
    }
}

BOOST_AUTO_TEST_CASE(withoutInstancesInTheRegionTheBackupIsInAnotherRegion)
{
    auto candidates = makeCandidates();
    candidates.erase(candidates.begin(), candidates.begin() + 4);
    BOOST_TEST(instancesWith(ServerRole::Owner, "s", candidates).empty());
    const auto backups = instancesWith(ServerRole::Backup, "s", candidates);
    BOOST_REQUIRE(backups.size() == 1);
    BOOST_TEST(backups[0].substr(0, 1) == "b");
}

BOOST_AUTO_TEST_CASE(rolesFollowTheInstances)
{
    const auto owners = instancesWith(ServerRole::Owner, "s", makeCandidates());
    qz::ServerRoles roles{ qz::InstanceId(owners.at(0)) };
    const qz::BackendServerId server("s");
    roles.setCandidates(makeCandidates());
    BOOST_CHECK(roles.find(server, makeLocation("a", "a1")) == ServerRole::Owner);
    roles.setCandidates({});
    BOOST_CHECK(roles.find(server, makeLocation("a", "a1")) == ServerRole::None);
}
