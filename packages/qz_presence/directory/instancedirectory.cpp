// Live instances, and the choice of entry instances and readers.
#include "qz_presence/directory/instancedirectory.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Makes the order of readers independent of the order of entry instances.
constexpr const char *readersSuffix = "/readers";

/// Separates the digests of ids from other uses of the hash function.
constexpr const char *digestKey = "known instances";

bool isSame(const InstanceRecord &a, const InstanceRecord &b)
{
    return a.callerEndpoint_ == b.callerEndpoint_ && a.peerEndpoint_ == b.peerEndpoint_
            && a.processorShare_ == b.processorShare_ && a.linkCapacity_ == b.linkCapacity_
            && a.location_.failureDomain_ == b.location_.failureDomain_;
}

} // namespace

InstanceDirectory::InstanceDirectory(InstanceRecord self, Limits limits)
    : self_(std::move(self))
    , limits_(limits)
    , digest_(rendezvousWeight(digestKey, self_.id_.value()))
{
}

bool InstanceDirectory::addOrUpdate(const InstanceRecord &record, TimePoint now)
{
    if (record.id_ == self_.id_) {
        return false;
    }
    const auto [found, isNew] = others_.try_emplace(record.id_.value());
    if (isNew) {
        digest_ ^= rendezvousWeight(digestKey, record.id_.value());
    } else if (isSame(found->second.record_, record)) {
        return false;
    }
    found->second = KnownInstance{ record, now, {}, false, false };
    return true;
}

bool InstanceDirectory::addIfUnknown(const InstanceRecord &record, TimePoint now)
{
    return others_.count(record.id_.value()) == 0 && addOrUpdate(record, now);
}

bool InstanceDirectory::recordPresence(const InstanceId &id, const InstanceState &state,
                                       TimePoint now)
{
    const auto found = others_.find(id.value());
    if (found == others_.end()) {
        return false;
    }
    found->second.lastPresence_ = now;
    found->second.state_ = state;
    found->second.isLinkLost_ = false;
    return !std::exchange(found->second.isHeard_, true);
}

void InstanceDirectory::markLost(const InstanceId &id)
{
    const auto found = others_.find(id.value());
    if (found != others_.end()) {
        found->second.isLinkLost_ = true;
        found->second.isHeard_ = false;
    }
}

std::vector<InstanceRecord> InstanceDirectory::preferredInstances(const std::string &key,
                                                                  std::vector<std::string> ids,
                                                                  Preference preference) const
{
    std::vector<InstanceRecord> preferred;
    for (const std::string &id : rendezvousOrder(key, std::move(ids))) {
        preferred.push_back(recordOf(id));
    }
    std::stable_sort(preferred.begin(), preferred.end(),
                     [preference](const InstanceRecord &a, const InstanceRecord &b) {
                         return a.*preference > b.*preference;
                     });
    return preferred;
}

const InstanceRecord &InstanceDirectory::recordOf(const std::string &id) const
{
    return id == self_.id_.value() ? self_ : others_.at(id).record_;
}

bool InstanceDirectory::isLiveInSameDomain(const KnownInstance &known, TimePoint now) const
{
    return known.record_.location_.failureDomain_ == self_.location_.failureDomain_
            && !known.isLinkLost_ && now - known.lastPresence_ < limits_.silenceLimit_;
}

std::vector<InstanceRecord> InstanceDirectory::entries(TimePoint now) const
{
    std::vector<std::string> live;
    for (const auto &[id, known] : others_) {
        if (known.state_.isReady_ && isLiveInSameDomain(known, now)) {
            live.push_back(id);
        }
    }
    if (selfState_.isReady_) {
        live.push_back(self_.id_.value());
    }
    const std::string &domain = self_.location_.failureDomain_.value();
    auto preferred = preferredInstances(domain, std::move(live), &InstanceRecord::processorShare_);
    preferred.resize(std::min(preferred.size(), entriesOf(domainSizes().at(domain))));
    return preferred;
}

std::optional<std::size_t> InstanceDirectory::readerIndex(TimePoint now) const
{
    std::vector<std::string> live{ self_.id_.value() };
    for (const auto &[id, known] : others_) {
        if (isLiveInSameDomain(known, now)) {
            live.push_back(id);
        }
    }
    std::size_t readerCount = 0;
    std::size_t candidateCount = 0;
    const std::string key = self_.location_.failureDomain_.value() + readersSuffix;
    for (const InstanceRecord &record :
         preferredInstances(key, std::move(live), &InstanceRecord::linkCapacity_)) {
        if (++candidateCount > limits_.readerCandidates_
            || readerCount == limits_.readersPerDomain_) {
            break;
        }
        if (record.id_ == self_.id_) {
            return readerCount;
        }
        readerCount += others_.at(record.id_.value()).state_.isStoreLost_ ? 0 : 1;
    }
    return std::nullopt;
}

bool InstanceDirectory::isEntry(TimePoint now) const
{
    const auto chosen = entries(now);
    return std::any_of(chosen.begin(), chosen.end(),
                       [this](const auto &record) { return record.id_ == self_.id_; });
}

std::vector<InstanceRecord> InstanceDirectory::domainPeers() const
{
    std::vector<std::string> ids;
    for (const auto &[id, known] : others_) {
        if (known.record_.location_.failureDomain_ == self_.location_.failureDomain_) {
            ids.push_back(id);
        }
    }
    return preferredInstances(self_.location_.failureDomain_.value(), std::move(ids),
                              &InstanceRecord::processorShare_);
}

std::vector<InstanceRecord> InstanceDirectory::relays(TimePoint now) const
{
    std::vector<InstanceRecord> peers = domainPeers();
    const auto rank = [this, now](const InstanceRecord &record) {
        const bool isLive = isLiveInSameDomain(others_.at(record.id_.value()), now);
        return std::make_pair(isLive, record.linkCapacity_);
    };
    std::stable_sort(peers.begin(), peers.end(),
                     [&rank](const auto &a, const auto &b) { return rank(a) > rank(b); });
    return peers;
}

std::vector<InstanceRecord> InstanceDirectory::requestPeers(TimePoint now) const
{
    std::vector<InstanceRecord> found;
    const std::size_t domainSize = domainSizes().at(self_.location_.failureDomain_.value());
    for (const InstanceRecord &record : domainPeers()) {
        const KnownInstance &known = others_.at(record.id_.value());
        if (found.size() < requestPeersOf(domainSize) && known.state_.isReady_
            && isLiveInSameDomain(known, now)) {
            found.push_back(record);
        }
    }
    const auto remote =
            preferredInOtherDomains("", &InstanceRecord::processorShare_,
                                    [this](std::size_t size) { return requestPeersOf(size); });
    found.insert(found.end(), remote.begin(), remote.end());
    return found;
}

std::vector<InstanceRecord> InstanceDirectory::remoteEntries() const
{
    return preferredInOtherDomains("", &InstanceRecord::processorShare_,
                                   [this](std::size_t size) { return entriesOf(size); });
}

std::vector<InstanceRecord> InstanceDirectory::remoteReaders() const
{
    return preferredInOtherDomains(readersSuffix, &InstanceRecord::linkCapacity_,
                                   [this](std::size_t) { return limits_.readersPerDomain_; });
}

bool InstanceDirectory::isInSameDomain(const InstanceId &id) const
{
    const auto found = others_.find(id.value());
    return found != others_.end()
            && found->second.record_.location_.failureDomain_ == self_.location_.failureDomain_;
}

std::vector<InstanceRecord> InstanceDirectory::preferredInOtherDomains(
        const std::string &keySuffix, Preference preference,
        const std::function<std::size_t(std::size_t)> &countOf) const
{
    std::map<std::string, std::vector<std::string>> domains;
    for (const auto &[id, known] : others_) {
        if (known.record_.location_.failureDomain_ != self_.location_.failureDomain_) {
            domains[known.record_.location_.failureDomain_.value()].push_back(id);
        }
    }
    std::vector<InstanceRecord> found;
    for (auto &[domain, ids] : domains) {
        const std::size_t count = countOf(ids.size());
        auto preferred = preferredInstances(domain + keySuffix, std::move(ids), preference);
        preferred.resize(std::min(preferred.size(), count));
        for (InstanceRecord &record : preferred) {
            found.push_back(std::move(record));
        }
    }
    return found;
}

std::vector<InstanceRecord> InstanceDirectory::all() const
{
    std::vector<InstanceRecord> found;
    for (const auto &[id, known] : others_) {
        found.push_back(known.record_);
    }
    return found;
}

std::size_t InstanceDirectory::entriesOf(std::size_t domainSize) const
{
    return (domainSize + limits_.instancesPerEntry_ - 1) / limits_.instancesPerEntry_;
}

std::map<std::string, std::size_t> InstanceDirectory::domainSizes() const
{
    std::map<std::string, std::size_t> sizes{ { self_.location_.failureDomain_.value(), 1 } };
    for (const auto &[id, known] : others_) {
        ++sizes[known.record_.location_.failureDomain_.value()];
    }
    return sizes;
}

std::size_t InstanceDirectory::entryCount() const
{
    std::size_t count = 0;
    for (const auto &[domain, size] : domainSizes()) {
        count += entriesOf(size);
    }
    return count;
}

} // namespace qz
