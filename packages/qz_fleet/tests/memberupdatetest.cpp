// Tests of the order of member updates and of the monitoring rings.
#include "qz_fleet/membership/memberupdate.h"
#include "qz_fleet/membership/monitoringrings.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>

using qz::InstanceId;
using qz::MemberUpdate;
using qz::Verdict;

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
    update.setVerdict(static_cast<Verdict>(pick(2)));
    update.isLeaving_ = pick(3) == 0;
    return update;
}

auto essence(const MemberUpdate &update)
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

BOOST_AUTO_TEST_CASE(updatesMergeToTheSameInAnyOrder)
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
        BOOST_REQUIRE((essence(forward) == essence(shuffled)));
        BOOST_REQUIRE(!qz::mergeUpdate(shuffled, updates.front())); // It is known by now.
    }
}

BOOST_AUTO_TEST_CASE(aMemberThatIsLeavingStaysSoUntilItIsRestarted)
{
    MemberUpdate known;
    known.incarnation_ = "first";
    known.isLeaving_ = true;
    MemberUpdate news = known;
    news.isLeaving_ = false;
    news.version_ = 1;
    BOOST_TEST(qz::mergeUpdate(known, news));
    BOOST_TEST(known.isLeaving_);
    news.incarnation_ = "second";
    news.version_ = 2;
    BOOST_TEST(qz::mergeUpdate(known, news));
    BOOST_TEST(!known.isLeaving_);
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

BOOST_AUTO_TEST_CASE(aSmallFleetIsMonitoredByAll)
{
    qz::MonitoringRings rings(4);
    const auto members = makeMembers(8);
    rings.setMembers(members);
    BOOST_TEST(rings.subjectsOf(members.front()).size() == 7U);
    BOOST_TEST(rings.subjectsOf(InstanceId("stranger")).empty());
}
