// Tests of BackendDirectory and GateMap.
#include "qz_gates/directory/backenddirectory.h"

#include "qz_gates/directory/gatemap.h"

#include <boost/test/unit_test.hpp>

namespace {

std::shared_ptr<const qz::RuleSet> makeRules(const std::string &serverLabels)
{
    const std::string text =
            R"({"ranks":[{"name":"r","order":0,"target_ms":100,"share":0.5,"worth":1}],
        "kinds":[{"name":"k","selector":{"kind":"k"},"rank":"r","deadline_ms":1000,"repeatable":true,
                  "servers":{"service":"s"}}],
        "routes":[{"path_prefix":"/","labels":{"kind":"k"}}],
        "services":[{"name":"s","floor":0.5}],
        "workspaces":[],"backend_servers":[)"
            + serverLabels + "]}";
    return qz::RuleSet::parse(text).value();
}

qz::ListedBackendServer makeServer(const std::string &id, const std::string &service)
{
    qz::ListedBackendServer server;
    server.id_ = qz::BackendServerId(id);
    server.labels_ = { { "service", service } };
    server.location_ = { qz::RegionId("r"), qz::FailureDomainId("d1") };
    return server;
}

qz::Member makeMember(const std::string &id, const std::string &domain)
{
    qz::Member member;
    member.id_ = qz::InstanceId(id);
    member.location_ = { qz::RegionId("r"), qz::FailureDomainId(domain) };
    return member;
}

} // namespace

BOOST_AUTO_TEST_CASE(findsTheServersThatMatchTheSelectorOfAKind)
{
    const auto rules = makeRules("");
    qz::BackendDirectory directory;
    directory.setListing({ makeServer("a", "s"), makeServer("b", "other") });
    directory.setRules(rules);
    const auto &servers = directory.serversFor(rules->kinds().front());
    BOOST_REQUIRE(servers.size() == 1U);
    BOOST_TEST(servers.front()->listed_.id_.value() == "a");
    BOOST_TEST(servers.front()->service_.value() == "s");
}

BOOST_AUTO_TEST_CASE(aServerIsLeavingIfListedOrLabelledSo)
{
    qz::BackendDirectory directory;
    auto leaving = makeServer("a", "s");
    leaving.state_ = qz::ListedState::Leaving;
    directory.setListing({ leaving, makeServer("b", "s"), makeServer("c", "s") });
    directory.setRules(makeRules(R"({"name":"b","labels":{"drain":"true"}})"));
    BOOST_TEST(directory.find(qz::BackendServerId("a"))->isLeaving());
    BOOST_TEST(directory.find(qz::BackendServerId("b"))->isLeaving());
    BOOST_TEST(!directory.find(qz::BackendServerId("c"))->isLeaving());
}

BOOST_AUTO_TEST_CASE(prefersGatesInTheFailureDomainOfTheServer)
{
    qz::GateMap map;
    map.setMembers({ makeMember("x", "d2"), makeMember("y", "d1"), makeMember("z", "d2") });
    const auto &gates = map.gatesOf(makeServer("a", "s"));
    BOOST_REQUIRE(gates.size() == 3U);
    BOOST_TEST(gates.front().value() == "y");
}

BOOST_AUTO_TEST_CASE(aLeavingInstanceIsNotAGate)
{
    auto leaving = makeMember("y", "d1");
    leaving.state_ = qz::MemberState::Leaving;
    qz::GateMap map;
    map.setMembers({ makeMember("x", "d2"), leaving });
    BOOST_TEST(map.gatesOf(makeServer("a", "s")).front().value() == "x");
}
