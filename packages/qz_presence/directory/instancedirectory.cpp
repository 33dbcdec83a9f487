// Live instances and the choice of entries.
#include "qz_presence/directory/instancedirectory.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace qz {

namespace {

bool isSame(const InstanceRecord &a, const InstanceRecord &b)
{
    return a.callerEndpoint_ == b.callerEndpoint_ && a.peerEndpoint_ == b.peerEndpoint_
            && a.location_.failureDomain_ == b.location_.failureDomain_;
}

} // namespace

InstanceDirectory::InstanceDirectory(InstanceRecord self, Limits limits)
    : self_(std::move(self))
    , limits_(limits)
{
}

bool InstanceDirectory::put(const InstanceRecord &record)
{
    if (record.id_ == self_.id_) {
        return false;
    }
    Known &known = others_[record.id_.value()];
    if (!known.record_.id_.isEmpty() && isSame(known.record_, record)) {
        return false;
    }
    known.record_ = record;
    return true;
}

void InstanceDirectory::hear(const InstanceId &id, bool isReady, TimePoint now)
{
    const auto found = others_.find(id.value());
    if (found != others_.end()) {
        found->second.heardAt_ = now;
        found->second.isReady_ = isReady;
        found->second.isLost_ = false;
    }
}

void InstanceDirectory::lose(const InstanceId &id)
{
    const auto found = others_.find(id.value());
    if (found != others_.end()) {
        found->second.isLost_ = true;
    }
}

std::vector<InstanceRecord> InstanceDirectory::firstOf(const std::string &domain,
                                                       std::vector<std::string> ids) const
{
    std::vector<InstanceRecord> first;
    for (const std::string &id : rendezvousOrder(domain, std::move(ids))) {
        if (first.size() == limits_.entriesPerDomain_) {
            break;
        }
        first.push_back(id == self_.id_.value() ? self_ : others_.at(id).record_);
    }
    return first;
}

std::vector<InstanceRecord> InstanceDirectory::entries(TimePoint now) const
{
    const FailureDomainId &domain = self_.location_.failureDomain_;
    std::vector<std::string> live;
    for (const auto &[id, known] : others_) {
        if (known.record_.location_.failureDomain_ == domain && known.isReady_ && !known.isLost_
            && now - known.heardAt_ < limits_.silenceLimit_) {
            live.push_back(id);
        }
    }
    if (isSelfReady_) {
        live.push_back(self_.id_.value());
    }
    return firstOf(domain.value(), std::move(live));
}

bool InstanceDirectory::isEntry(TimePoint now) const
{
    const auto chosen = entries(now);
    return std::any_of(chosen.begin(), chosen.end(),
                       [this](const auto &record) { return record.id_ == self_.id_; });
}

std::vector<InstanceRecord> InstanceDirectory::neighbours() const
{
    std::vector<InstanceRecord> found;
    for (const auto &[id, known] : others_) {
        if (known.record_.location_.failureDomain_ == self_.location_.failureDomain_) {
            found.push_back(known.record_);
        }
    }
    return found;
}

std::vector<InstanceRecord> InstanceDirectory::remoteEntries() const
{
    std::map<std::string, std::vector<std::string>> domains;
    for (const auto &[id, known] : others_) {
        if (known.record_.location_.failureDomain_ != self_.location_.failureDomain_) {
            domains[known.record_.location_.failureDomain_.value()].push_back(id);
        }
    }
    std::vector<InstanceRecord> found;
    for (auto &[domain, ids] : domains) {
        for (InstanceRecord &record : firstOf(domain, std::move(ids))) {
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

std::size_t InstanceDirectory::domainCount() const
{
    std::set<std::string> domains{ self_.location_.failureDomain_.value() };
    for (const auto &[id, known] : others_) {
        domains.insert(known.record_.location_.failureDomain_.value());
    }
    return domains.size();
}

} // namespace qz
