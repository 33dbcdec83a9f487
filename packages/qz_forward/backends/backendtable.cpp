// Applies changes of the list of backend servers.
#include "qz_forward/backends/backendtable.h"

#include "qz_core/logging/logger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace qz {

namespace {

/// Outdated entries of servers that are gone have expired after this time.
constexpr Duration restorePeriod = std::chrono::seconds(10);

/// A copy from which the list is restored is younger than this.
constexpr Duration removalMemory = std::chrono::minutes(1);

/// A server that leaves has ended after this time.
constexpr Duration leavingMemory = std::chrono::hours(1);

nlohmann::json toJson(const ListedBackend &listed)
{
    return { { "server", listed.id_.value() },
             { "incarnation", listed.incarnation_ },
             { "service", listed.service_.value() },
             { "address", toString(listed.endpoint_) },
             { "failure_domain", listed.location_.failureDomain_.value() },
             { "draining", listed.isDraining_ } };
}

} // namespace

BackendTable::BackendTable(EventLoop &loop)
    : loop_(loop)
{
}

void BackendTable::put(const ListedBackend &listed)
{
    missing_.erase(listed.id_);
    const auto found = servers_.find(listed.id_);
    if (found != servers_.end()) {
        const ListedBackend &current = found->second->listed();
        const bool isSame = current.incarnation_ == listed.incarnation_
                && current.endpoint_ == listed.endpoint_ && current.service_ == listed.service_;
        if (isSame) {
            if (current.isDraining_ != listed.isDraining_) {
                log(LogLevel::Info, "backend-changed", toJson(listed));
            }
            found->second->update(listed);
            return;
        }
        erase(listed.id_);
    }
    removed_.erase(listed.id_);
    log(LogLevel::Info, "backend-listed", toJson(listed));
    const auto server = std::make_shared<Backend>(loop_, listed);
    // Without the time of its start an entry cannot be told from that of an earlier incarnation.
    if (listed.incarnation_ > 0 && isKnownAsLeaving(listed)) {
        server->startLeaving();
    }
    servers_[listed.id_] = server;
    services_[listed.service_].push_back(server);
}

void BackendTable::remove(const BackendServerId &id)
{
    if (servers_.count(id) == 0) {
        return;
    }
    if (loop_.now() < graceUntil_) {
        missing_[id] = true;
        return;
    }
    erase(id);
}

void BackendTable::replaceAll(const std::vector<ListedBackend> &listed)
{
    std::set<BackendServerId> present;
    for (const ListedBackend &entry : listed) {
        present.insert(entry.id_);
        if (loop_.now() < outdatedUntil_ && isOutdated(entry)) {
            log(LogLevel::Info, "backend-entry-outdated", toJson(entry));
        } else {
            put(entry);
        }
    }
    std::vector<BackendServerId> absent;
    for (const auto &[id, server] : servers_) {
        if (present.count(id) == 0) {
            absent.push_back(id);
        }
    }
    for (const BackendServerId &id : absent) {
        remove(id);
    }
}

void BackendTable::startRemovalGrace(Duration grace)
{
    graceUntil_ = loop_.now() + grace;
    graceTimer_ = loop_.callAfter(grace, [this] { endGrace(); });
}

void BackendTable::expectOutdatedEntries()
{
    outdatedUntil_ = loop_.now() + restorePeriod;
}

bool BackendTable::recordLeaving(const BackendServerId &id, std::int64_t incarnation)
{
    forgetOldLeavers();
    const auto known = leaving_.find(id);
    if (known != leaving_.end() && known->second.incarnation_ >= incarnation) {
        return false;
    }
    leaving_[id] = { incarnation, loop_.now() };
    const ServerPtr server = find(id);
    if (server != nullptr && isKnownAsLeaving(server->listed())) {
        server->startLeaving();
    }
    return true;
}

bool BackendTable::isKnownAsLeaving(const ListedBackend &listed) const
{
    const auto known = leaving_.find(listed.id_);
    return known != leaving_.end() && listed.incarnation_ <= known->second.incarnation_;
}

void BackendTable::forgetOldLeavers()
{
    for (auto entry = leaving_.begin(); entry != leaving_.end();) {
        const bool isOld = loop_.now() - entry->second.recordedAt_ > leavingMemory;
        entry = isOld ? leaving_.erase(entry) : std::next(entry);
    }
}

bool BackendTable::isOutdated(const ListedBackend &listed) const
{
    const auto age = std::make_pair(listed.incarnation_, listed.revision_);
    const auto known = servers_.find(listed.id_);
    if (known != servers_.end()) {
        const ListedBackend &current = known->second->listed();
        return age < std::make_pair(current.incarnation_, current.revision_);
    }
    const auto removed = removed_.find(listed.id_);
    return removed != removed_.end()
            && age <= std::make_pair(removed->second.incarnation_, removed->second.revision_);
}

void BackendTable::endGrace()
{
    for (const auto &[id, isMissing] : std::exchange(missing_, {})) {
        erase(id);
    }
}

void BackendTable::erase(const BackendServerId &id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    const ServerPtr server = found->second;
    const ListedBackend &listed = server->listed();
    forgetOldRemovals();
    removed_[id] = { listed.incarnation_, listed.revision_, loop_.now() };
    log(LogLevel::Info, "backend-gone", toJson(server->listed()));
    servers_.erase(found);
    removeFromService(server);
    server->close();
}

void BackendTable::forgetOldRemovals()
{
    for (auto entry = removed_.begin(); entry != removed_.end();) {
        const bool isOld = loop_.now() - entry->second.removedAt_ > removalMemory;
        entry = isOld ? removed_.erase(entry) : std::next(entry);
    }
}

void BackendTable::removeFromService(const ServerPtr &server)
{
    auto &group = services_[server->listed().service_];
    group.erase(std::remove(group.begin(), group.end(), server), group.end());
}

const std::vector<BackendTable::ServerPtr> &BackendTable::serversOf(const ServiceId &service) const
{
    static const std::vector<ServerPtr> none;
    const auto found = services_.find(service);
    return found == services_.end() ? none : found->second;
}

BackendTable::ServerPtr BackendTable::find(const BackendServerId &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second;
}

void BackendTable::closeStaleConnections()
{
    for (const auto &[id, server] : servers_) {
        server->closeStaleConnections(loop_.now());
    }
}

} // namespace qz
