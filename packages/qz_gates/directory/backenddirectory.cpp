// The backend servers of the platform's list, with the labels of the operators' rules.
#include "qz_gates/directory/backenddirectory.h"

#include "qz_core/faults/faultpoint.h"

#include <utility>

namespace qz {

bool BackendServer::isLeaving() const
{
    const auto drain = labels_.find(label::drain);
    const bool isDrained = drain != labels_.end() && drain->second == "true";
    const bool isLeaving = isDrained || listed_.state_ == ListedState::Leaving;
    return isLeaving && !isFaultInjected(FaultPoint::LeavingIgnored);
}

void BackendDirectory::setRules(std::shared_ptr<const RuleSet> rules)
{
    rules_ = std::move(rules);
    rebuild();
}

void BackendDirectory::setListing(std::vector<ListedBackendServer> listing)
{
    listing_ = std::move(listing);
    rebuild();
}

const BackendDirectory::Servers &BackendDirectory::serversFor(const WorkKind &kind) const
{
    static const Servers noServers;
    const auto found = byKind_.find(kind.name_);
    return found == byKind_.end() ? noServers : found->second;
}

BackendDirectory::ServerPtr BackendDirectory::find(const BackendServerId &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second;
}

void BackendDirectory::rebuild()
{
    servers_.clear();
    byKind_.clear();
    if (rules_ == nullptr) {
        return;
    }
    for (const ListedBackendServer &listed : listing_) {
        auto server = std::make_shared<BackendServer>();
        server->listed_ = listed;
        server->labels_ = rules_->labelsOf(listed.id_, listed.labels_);
        const auto service = server->labels_.find(label::service);
        if (service != server->labels_.end()) {
            server->service_ = ServiceId(service->second);
        }
        servers_[listed.id_] = std::move(server);
    }
    for (const WorkKind &kind : rules_->kinds()) {
        Servers &servers = byKind_[kind.name_];
        for (const auto &[id, server] : servers_) {
            if (kind.servers_.matches(server->labels_)) {
                servers.push_back(server);
            }
        }
    }
}

} // namespace qz
