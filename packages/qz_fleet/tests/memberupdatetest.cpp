// Tests of merging member updates and of MonitoringRings.
#include "qz_fleet/membership/memberupdate.h"
#include "qz_fleet/membership/monitoringrings.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>

using qz::InstanceId;
using qz::MemberUpdate;
using qz::MemberVerdict;

namespace {

MemberUpdate randomUpdate(std::mt19937_64 &random)
{
    const auto pick = [&random](int highest) {
        return std::uniform_int_distribution<int>(0, highest)(random);
    };
    MemberUpdate update;
    update.id_ = InstanceId("a");
    update.incarnation_ = pick(1) == 0 ? "first" : "second";
    update.version_ = static_cast<std::uint64_t>(pick(2));
    update.setVerdict(static_cast<MemberVerdict>(pick(2)));
    update.isLeaving_ = pick(3) == 0;
    return update;
}

auto mergedState(const MemberUpdate &update)
{
    return std::make_tuple(update.incarnation_, update.version_, update.verdict_);
}

std::vector<InstanceId> makeMembers(std::size_t count)
{
    std::vector<InstanceId> members;
    members.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        members.emplace_back("instance-" + std::to_string(i));
    }
    return members;
}

} // namespace

BOOST_AUTO_TEST_CASE(theMergeResultDoesNotDependOnTheOrderOfUpdates)
{
    std::mt19937_64 random(5);
    for (int round = 0; round < 2000; ++round) {
        std::vector<MemberUpdate> updates;
        updates.reserve(5);
        for (int i = 0; i < 5; ++i) {
            updates.push_back(randomUpdate(random));
        }
        MemberUpdate forward;
        MemberUpdate shuffled;
        for (const MemberUpdate &update : updates) {
            qz::mergeUpdate(forward, update);
        }
        std::shuffle(updates.begin(), updates.end(), random);
        for (const MemberUpdate &update : updates) {
            qz::mergeUpdate(shuffled, update);
        }
        BOOST_REQUIRE((mergedState(forward) == mergedState(shuffled)));
        BOOST_REQUIRE(!qz::mergeUpdate(shuffled, updates.front())); // Already merged.
    }
}

BOOST_AUTO_TEST_CASE(aLeavingMemberRemainsLeavingUntilItRestarts)
{
    MemberUpdate current;
    current.incarnation_ = "first";
    current.isLeaving_ = true;
    MemberUpdate update = current;
    update.isLeaving_ = false;
    update.version_ = 1;
    BOOST_TEST(qz::mergeUpdate(current, update));
    BOOST_TEST(current.isLeaving_);
    update.incarnation_ = "second";
    update.version_ = 2;
    BOOST_TEST(qz::mergeUpdate(current, update));
    BOOST_TEST(!current.isLeaving_);
}

BOOST_AUTO_TEST_CASE(eachMemberHasAConstantNumberOfNeighbours)
{
    qz::MonitoringRings rings(4);
    for (const std::size_t count : { 32U, 1000U }) {
        const auto members = makeMembers(count);
        rings.setMembers(members);
        std::size_t sum = 0;
        for (const InstanceId &member : members) {
            const auto subjects = rings.subjectsOf(member);
            sum += subjects.size();
            BOOST_TEST(subjects.size() <= 4U);
            BOOST_TEST(!rings.observersOf(member).empty());
            for (const InstanceId &subject : subjects) {
                const auto observers = rings.observersOf(subject);
                BOOST_TEST(std::count(observers.begin(), observers.end(), member) == 1);
            }
        }
        BOOST_TEST(sum > 7 * count / 2);
    }
}

BOOST_AUTO_TEST_CASE(eachMemberMonitorsAllOthersInASmallFleet)
{
    qz::MonitoringRings rings(4);
    const auto members = makeMembers(8);
    rings.setMembers(members);
    BOOST_TEST(rings.subjectsOf(members.front()).size() == 7U);
    BOOST_TEST(rings.subjectsOf(InstanceId("stranger")).empty());
}
