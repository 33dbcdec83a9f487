// Tests of rendezvous hashing.
#include "qz_core/hashing/rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace {

std::vector<std::string> makeMembers(int count)
{
    std::vector<std::string> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back("instance-" + std::to_string(i));
    }
    return members;
}

} // namespace

BOOST_AUTO_TEST_CASE(orderDoesNotDependOnTheOrderOfMembers)
{
    auto members = makeMembers(8);
    const auto order = qz::rendezvousOrder("key", members);
    std::reverse(members.begin(), members.end());
    BOOST_TEST(qz::rendezvousOrder("key", members) == order, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aLostMemberMovesOnlyItsOwnKeys)
{
    const auto members = makeMembers(8);
    auto fewer = members;
    fewer.pop_back();
    for (int i = 0; i < 500; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string before = qz::rendezvousOrder(key, members).front();
        const std::string after = qz::rendezvousOrder(key, fewer).front();
        BOOST_TEST((before == after || before == members.back()));
    }
}

BOOST_AUTO_TEST_CASE(keysSpreadEvenlyOverMembers)
{
    const auto members = makeMembers(8);
    std::map<std::string, int> counts;
    for (int i = 0; i < 8000; ++i) {
        ++counts[qz::rendezvousOrder("key-" + std::to_string(i), members).front()];
    }
    for (const auto &[member, count] : counts) {
        BOOST_TEST(count > 800, member << " holds " << count);
        BOOST_TEST(count < 1200, member << " holds " << count);
    }
}
