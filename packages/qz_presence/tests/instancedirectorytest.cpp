// Tests of the choice of entry instances and of readers of the store.
#include "qz_presence/directory/instancedirectory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace {

const qz::TimePoint start{ 1h };

qz::InstanceRecord makeRecord(int number, const std::string &domain = "d")
{
    const std::string name = domain + "-" + std::to_string(number);
    return { qz::InstanceId(name),
             { "127.0.0.1", static_cast<std::uint16_t>(1000 + number) },
             { "127.0.0.1", static_cast<std::uint16_t>(2000 + number) },
             { qz::RegionId("r"), qz::FailureDomainId(domain) },
             1.0 };
}

qz::InstanceDirectory::Limits limitsWithTwoEntriesOf(std::size_t instances)
{
    qz::InstanceDirectory::Limits limits;
    limits.instancesPerEntry_ = instances / 2;
    return limits;
}

/// The directories of several instances of one failure domain.
struct Fleet
{
    explicit Fleet(int count)
    {
        for (int i = 0; i < count; ++i) {
            directories_.push_back(std::make_unique<qz::InstanceDirectory>(
                    makeRecord(i), limitsWithTwoEntriesOf(8)));
            directories_.back()->setSelfState({ true, false });
        }
        for (int i = 0; i < count; ++i) {
            for (int j = 0; j < count; ++j) {
                directories_[i]->addOrUpdate(makeRecord(j), start);
            }
        }
        deliverPresence(start, {});
    }

    /// Delivers presence messages from all instances except those in @p silent to all others.
    void deliverPresence(qz::TimePoint now, const std::vector<int> &silent)
    {
        for (std::size_t i = 0; i < directories_.size(); ++i) {
            for (std::size_t j = 0; j < directories_.size(); ++j) {
                const bool isSilent = std::count(silent.begin(), silent.end(), int(j)) > 0;
                if (i != j && !isSilent) {
                    directories_[i]->recordPresence(makeRecord(int(j)).id_,
                                                    { true, storeLost_.count(int(j)) > 0 }, now);
                }
            }
        }
    }

    std::vector<int> readers(qz::TimePoint now) const
    {
        std::vector<int> found;
        for (std::size_t i = 0; i < directories_.size(); ++i) {
            if (directories_[i]->readerIndex(now)) {
                found.push_back(int(i));
            }
        }
        return found;
    }

    std::vector<std::unique_ptr<qz::InstanceDirectory>> directories_;
    std::set<int> storeLost_; ///< Instances that cannot read from the store.
};

std::vector<std::string> idsOf(const std::vector<qz::InstanceRecord> &records)
{
    std::vector<std::string> ids;
    ids.reserve(records.size());
    for (const auto &record : records) {
        ids.push_back(record.id_.value());
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_CASE(allInstancesChooseTheSameEntries)
{
    const Fleet fleet(8);
    const auto first = idsOf(fleet.directories_[0]->entries(start));
    BOOST_TEST(first.size() == 2);
    for (const auto &directory : fleet.directories_) {
        BOOST_TEST(idsOf(directory->entries(start)) == first, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(theNumberOfEntriesGrowsWithTheFailureDomain)
{
    for (const auto &[instances, entries] : { std::pair(1, 1), { 16, 1 }, { 17, 2 }, { 40, 3 } }) {
        qz::InstanceDirectory directory(makeRecord(0), {});
        directory.setSelfState({ true, false });
        for (int i = 1; i < instances; ++i) {
            directory.addOrUpdate(makeRecord(i), start);
            directory.recordPresence(makeRecord(i).id_, { true, false }, start);
        }
        BOOST_TEST(directory.entries(start).size() == static_cast<std::size_t>(entries));
        BOOST_TEST(directory.entryCount() == static_cast<std::size_t>(entries));
    }
}

BOOST_AUTO_TEST_CASE(onlyTheSilentEntryIsReplaced)
{
    Fleet fleet(8);
    const auto before = idsOf(fleet.directories_[0]->entries(start));
    const int silent = std::stoi(before[0].substr(2));
    const auto now = start + 2s;
    fleet.deliverPresence(now, { silent });
    const int observer = silent == 7 ? 6 : 7;
    const auto after = idsOf(fleet.directories_[observer]->entries(now));
    BOOST_TEST(after.size() == 2);
    BOOST_TEST(std::count(after.begin(), after.end(), before[0]) == 0);
    BOOST_TEST(std::count(after.begin(), after.end(), before[1]) == 1);
}

BOOST_AUTO_TEST_CASE(stoppingInstanceIsNoLongerAnEntry)
{
    Fleet fleet(3);
    fleet.directories_[0]->setSelfState({ false, false });
    const auto names = idsOf(fleet.directories_[0]->entries(start));
    BOOST_TEST(std::count(names.begin(), names.end(), "d-0") == 0);
    fleet.directories_[1]->recordPresence(qz::InstanceId("d-0"), { false, false }, start);
    const auto others = idsOf(fleet.directories_[1]->entries(start));
    BOOST_TEST(std::count(others.begin(), others.end(), "d-0") == 0);
}

BOOST_AUTO_TEST_CASE(isolatedInstanceChoosesItself)
{
    Fleet fleet(4);
    const auto alone = fleet.directories_[2]->entries(start + 10s);
    BOOST_REQUIRE(alone.size() == 1);
    BOOST_TEST(alone[0].id_.value() == "d-2");
    BOOST_TEST(fleet.directories_[2]->readerIndex(start + 10s).value() == 0);
}

BOOST_AUTO_TEST_CASE(twoInstancesReadFromTheStore)
{
    const Fleet fleet(12);
    const auto readers = fleet.readers(start);
    BOOST_REQUIRE(readers.size() == 2);
    BOOST_TEST(fleet.directories_[readers[0]]->readerIndex(start).value()
                       + fleet.directories_[readers[1]]->readerIndex(start).value()
               == 1);
}

BOOST_AUTO_TEST_CASE(readerWithoutStoreAccessIsSupplementedUpToTheCandidateLimit)
{
    Fleet fleet(12);
    const auto before = fleet.readers(start);
    fleet.storeLost_ = { before[0] };
    fleet.deliverPresence(start, {});
    fleet.directories_[before[0]]->setSelfState({ true, true });
    // The reader that lost the store keeps trying to read.
    BOOST_TEST(fleet.readers(start).size() == 3);
    for (int i = 0; i < 12; ++i) {
        fleet.storeLost_.insert(i);
        fleet.directories_[i]->setSelfState({ true, true });
    }
    fleet.deliverPresence(start, {});
    BOOST_TEST(fleet.readers(start).size() == qz::InstanceDirectory::Limits().readerCandidates_);
}

BOOST_AUTO_TEST_CASE(preferredInstancesOfOtherDomainsNeedNoPresenceMessages)
{
    qz::InstanceDirectory directory(makeRecord(0), limitsWithTwoEntriesOf(6));
    for (int i = 0; i < 6; ++i) {
        directory.addOrUpdate(makeRecord(i, "e"), start);
        directory.addOrUpdate(makeRecord(i, "f"), start);
    }
    BOOST_TEST(directory.remoteEntries().size() == 4);
    BOOST_TEST(directory.remoteReaders().size() == 4);
    BOOST_TEST(directory.entryCount() == 5); // Its own domain has one instance.
    BOOST_TEST(directory.domainPeers().empty());
    BOOST_TEST(!directory.isInSameDomain(qz::InstanceId("e-1")));
}

BOOST_AUTO_TEST_CASE(instancesWithALargerProcessorShareArePreferredAsEntries)
{
    qz::InstanceDirectory directory(makeRecord(0), limitsWithTwoEntriesOf(12));
    for (int i = 1; i < 12; ++i) {
        auto record = makeRecord(i);
        record.processorShare_ = i == 7 || i == 9 ? 2.0 : 0.5;
        directory.addOrUpdate(record, start);
        directory.recordPresence(record.id_, { true, false }, start);
    }
    auto names = idsOf(directory.entries(start));
    std::sort(names.begin(), names.end());
    const std::vector<std::string> larger{ "d-7", "d-9" };
    BOOST_TEST(names == larger, boost::test_tools::per_element());
    directory.markLost(qz::InstanceId("d-7"));
    BOOST_TEST(directory.entries(start).size() == 2);
}

// Guards against a reader whose narrow link delays the updates of its whole failure domain, and
// against versions that are announced to instances that are no readers.
BOOST_AUTO_TEST_CASE(instancesWithWideLinksAreReadersInTheViewOfAllDomains)
{
    const auto addDomain = [](qz::InstanceDirectory &directory, const std::string &domain) {
        for (int i = 0; i < 6; ++i) {
            auto record = makeRecord(i, domain);
            record.processorShare_ = i < 2 ? 2.0 : 0.5;
            record.linkCapacity_ = i >= 4 ? 200.0 : 20.0;
            directory.addOrUpdate(record, start);
        }
    };
    for (int i = 0; i < 6; ++i) {
        auto self = makeRecord(i, "e");
        self.linkCapacity_ = i >= 4 ? 200.0 : 20.0;
        qz::InstanceDirectory directory(self, {});
        addDomain(directory, "e");
        BOOST_TEST(directory.readerIndex(start).has_value() == (i >= 4));
    }
    qz::InstanceDirectory other(makeRecord(0, "f"), {});
    addDomain(other, "e");
    auto names = idsOf(other.remoteReaders());
    std::sort(names.begin(), names.end());
    const std::vector<std::string> widest{ "e-4", "e-5" };
    BOOST_TEST(names == widest, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(newInstanceIsNoEntryBeforeItsFirstPresenceMessage)
{
    qz::InstanceDirectory directory(makeRecord(0), {});
    BOOST_TEST(directory.addOrUpdate(makeRecord(1), start));
    BOOST_TEST(!directory.addOrUpdate(makeRecord(1), start));
    BOOST_TEST(directory.entries(start).empty());
    directory.recordPresence(makeRecord(1).id_, { true, false }, start);
    BOOST_TEST(directory.entries(start).size() == 1);
    directory.markLost(makeRecord(1).id_);
    BOOST_TEST(directory.entries(start).empty());
}
