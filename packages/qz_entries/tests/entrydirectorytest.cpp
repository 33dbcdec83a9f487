// Tests of the addresses that a caller gets.
#include "qz_entries/directory/entrydirectory.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace {

const std::vector<std::string> domains{ "alex-a", "alex-b", "cairo-a", "cairo-b" };

qz::EntryMember makeMember(const std::string &domain, int number)
{
    const qz::RegionId region(domain.substr(0, domain.find('-')));
    const auto port = static_cast<std::uint16_t>(8000 + number);
    return { qz::InstanceId("i-" + std::to_string(number)),
             { region, qz::FailureDomainId(domain) },
             { "127.0.0.1", port },
             false };
}

std::vector<qz::EntryMember> makeMembers(int perDomain)
{
    std::vector<qz::EntryMember> members;
    members.reserve(4 * static_cast<std::size_t>(perDomain));
    for (int i = 0; i < 4 * perDomain; ++i) {
        members.push_back(makeMember(domains[static_cast<std::size_t>(i % 4)], i));
    }
    return members;
}

qz::AddressQuery queryFrom(const std::string &caller, const std::string &domain = "")
{
    return { caller, qz::FailureDomainId(domain), qz::RegionId() };
}

const qz::EntryDirectory directory{ qz::EntryDirectory::Limits() };

} // namespace

BOOST_AUTO_TEST_SUITE(entryDirectory)

BOOST_AUTO_TEST_CASE(listsTheCallersDomainBeforeItsRegion)
{
    const auto list = directory.addressesFor(queryFrom("c", "alex-a"), makeMembers(2));
    BOOST_TEST_REQUIRE(list.entries_.size() == 4U);
    BOOST_TEST(list.entries_[0].location_.failureDomain_.value() == "alex-a");
    BOOST_TEST(list.entries_[1].location_.failureDomain_.value() == "alex-a");
    BOOST_TEST(list.entries_[2].location_.failureDomain_.value() == "alex-b");
    BOOST_TEST(list.entries_[3].location_.failureDomain_.value() == "alex-b");
}

BOOST_AUTO_TEST_CASE(listsTwoDomainsEvenIfOneHasEnoughMembers)
{
    const auto list = directory.addressesFor(queryFrom("c", "alex-a"), makeMembers(8));
    BOOST_TEST_REQUIRE(list.entries_.size() == 4U);
    BOOST_TEST(list.entries_[2].location_.failureDomain_.value() == "alex-a");
    BOOST_TEST(list.entries_[3].location_.failureDomain_.value() == "alex-b");
}

BOOST_AUTO_TEST_CASE(oneDomainAloneFillsTheList)
{
    std::vector<qz::EntryMember> members(6);
    int number = 0;
    for (qz::EntryMember &member : members) {
        member = makeMember("alex-a", ++number);
    }
    BOOST_TEST(directory.addressesFor(queryFrom("c", "alex-a"), members).entries_.size() == 4U);
}

BOOST_AUTO_TEST_CASE(leavingMembersAreNotListed)
{
    auto members = makeMembers(1);
    members[0].isLeaving_ = true;
    const auto list = directory.addressesFor(queryFrom("c", "alex-a"), members);
    BOOST_TEST(list.entries_.size() == 3U);
    BOOST_TEST(list.entries_[0].location_.failureDomain_.value() == "alex-b");
}

BOOST_AUTO_TEST_CASE(callersSpreadOverTheMembersOfADomain)
{
    const auto members = makeMembers(8);
    std::map<std::string, int> countsOfFirst;
    for (int i = 0; i < 4000; ++i) {
        const auto list = directory.addressesFor(
                queryFrom("caller-" + std::to_string(i), "cairo-b"), members);
        ++countsOfFirst[list.entries_.front().id_.value()];
    }
    BOOST_TEST(countsOfFirst.size() == 8U);
    for (const auto &[instance, count] : countsOfFirst) {
        BOOST_TEST(count > 350, instance << " is first for " << count << " of 4000");
        BOOST_TEST(count < 650, instance << " is first for " << count << " of 4000");
    }
}

BOOST_AUTO_TEST_CASE(aCallerOfAnUnknownDomainGetsTwoDomains)
{
    for (int i = 0; i < 200; ++i) {
        const auto list =
                directory.addressesFor(queryFrom("caller-" + std::to_string(i)), makeMembers(8));
        std::set<std::string> found;
        for (const auto &entry : list.entries_) {
            found.insert(entry.location_.failureDomain_.value());
        }
        BOOST_TEST(found.size() >= 2U);
    }
}

BOOST_AUTO_TEST_CASE(theRegionIsUsedWhenTheDomainHasNoMembers)
{
    qz::AddressQuery query = queryFrom("c", "cairo-z");
    query.region_ = qz::RegionId("cairo");
    const auto list = directory.addressesFor(query, makeMembers(2));
    for (const auto &entry : list.entries_) {
        BOOST_TEST(entry.location_.region_.value() == "cairo");
    }
}

BOOST_AUTO_TEST_CASE(jsonContainsTheOrderAndTheTimeToLive)
{
    const auto list = directory.addressesFor(queryFrom("c", "alex-a"), makeMembers(1));
    const auto json = list.toJson();
    BOOST_TEST(json.at("keep_ms").get<int>() == 10000);
    BOOST_TEST(json.at("addresses").at(0).at("failure_domain").get<std::string>() == "alex-a");
    BOOST_TEST(json.at("addresses").at(0).at("port").get<int>() == 8000);
}

BOOST_AUTO_TEST_SUITE_END()
