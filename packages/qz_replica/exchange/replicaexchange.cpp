// Table updates and requests over peer links.
#include "qz_replica/exchange/replicaexchange.h"

#include "qz_core/logging/logger.h"
#include "qz_fleet/messages/packing.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Time after which a reader of another failure domain has read a change from the store itself,
/// unless its connection to the store has failed.
constexpr Duration storeReadTime = std::chrono::milliseconds(700);

/// Minimum time between two requests for a table; a response over a slow link takes at most this
/// long.
constexpr Duration minRequestInterval = std::chrono::milliseconds(500);

/// Time after which a table that was requested from another failure domain, and has not arrived, is
/// requested from the next instance that announced it.
constexpr Duration responseTime = std::chrono::milliseconds(600);
static_assert(responseTime > minRequestInterval);

/// Number of transfers of a large table until a pushed update reaches an instance: from the store,
/// from the reader and from an instance that sends it on.
constexpr int pushTransfers = 3;

/// Number of transfers after which a requested table has arrived.
constexpr int requestTransfers = 2;

void logSending(const TableUpdate &update, std::size_t messageBytes, std::size_t receiverCount)
{
    log(LogLevel::Info, "table-sent",
        { { "table", update.table_ },
          { "version", update.version_ },
          { "bytes", messageBytes },
          { "receivers", receiverCount } });
}

} // namespace

ReplicaExchange::ReplicaExchange(EventLoop &loop, PeerLinks &links,
                                 const InstanceDirectory &directory)
    : loop_(loop)
    , links_(links)
    , directory_(directory)
    , link_(directory.self().linkCapacity_)
{
}

ReplicaExchange::~ReplicaExchange()
{
    links_.setHandler(MessageKind::TableUpdate, nullptr);
    links_.setHandler(MessageKind::TableRequest, nullptr);
    links_.setHandler(MessageKind::TableVersion, nullptr);
}

void ReplicaExchange::addTable(const std::string &table, UpdateHandler handler)
{
    tables_.emplace(table, Table{ TableReplica(table), std::move(handler), {}, {} });
}

void ReplicaExchange::start()
{
    links_.setHandler(MessageKind::TableUpdate,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveUpdate(from, payload);
                      });
    links_.setHandler(MessageKind::TableRequest,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveRequest(from, payload);
                      });
    links_.setHandler(MessageKind::TableVersion,
                      [this](const InstanceId &from, std::string_view payload) {
                          receiveVersion(from, payload);
                      });
}

void ReplicaExchange::publish(TableUpdate update)
{
    const auto found = tables_.find(update.table_);
    if (found != tables_.end() && !update.isSnapshot_) {
        // Instances that missed updates without rows can apply it, too.
        update.fromVersion_ =
                std::min(update.fromVersion_, found->second.replica_.changedVersion());
    }
    if (!apply(update, "store")) {
        return; // The update from another instance arrived first.
    }
    distribute(update, directory_.relays(loop_.now()));
    if (update.rows_.empty()) {
        return;
    }
    const std::string message = packMessage(TableVersionMessage{ update.table_, update.version_ });
    for (const InstanceRecord &reader : directory_.remoteReaders()) {
        // If the message is lost, the reader still gets the change from the store.
        (void)links_.send(reader.id_, MessageKind::TableVersion, message);
    }
}

void ReplicaExchange::distribute(TableUpdate update, const std::vector<InstanceRecord> &receivers)
{
    if (receivers.empty()) {
        return;
    }
    update.relayTo_.clear();
    const std::string message = packMessage(update);
    const std::size_t available = link_.availableMessages(message.size(), loop_.now());
    const std::size_t directCount = std::clamp<std::size_t>(available, 1, receivers.size());
    if (!update.rows_.empty()) {
        logSending(update, message.size(), directCount);
    }
    std::vector<std::vector<InstanceId>> relayed(directCount);
    for (std::size_t i = directCount; i < receivers.size(); ++i) {
        const auto timeOf = [&receivers, &relayed](std::size_t relay) {
            return double(relayed[relay].size() + 1) / receivers[relay].linkCapacity_;
        };
        std::size_t quickest = 0;
        for (std::size_t relay = 1; relay < directCount; ++relay) {
            quickest = timeOf(relay) < timeOf(quickest) ? relay : quickest;
        }
        relayed[quickest].push_back(receivers[i].id_);
    }
    for (std::size_t i = 0; i < directCount; ++i) {
        update.relayTo_ = std::move(relayed[i]);
        sendUpdate(receivers[i].id_, update.relayTo_.empty() ? message : packMessage(update));
    }
}

void ReplicaExchange::sendUpdate(const InstanceId &to, const std::string &message)
{
    // An instance that does not get the update learns from a later presence message that its
    // version is outdated, and requests the table.
    if (links_.send(to, MessageKind::TableUpdate, message).has_value()) {
        link_.recordSent(message.size(), loop_.now());
    }
}

bool ReplicaExchange::apply(const TableUpdate &update, const std::string &source)
{
    const auto found = tables_.find(update.table_);
    if (found == tables_.end() || !found->second.replica_.apply(update)) {
        return false;
    }
    if (!update.rows_.empty()) {
        log(LogLevel::Info, "table-updated",
            { { "table", update.table_ },
              { "version", update.version_ },
              { "from", source },
              { "snapshot", update.isSnapshot_ },
              { "rows", update.rows_.size() } });
    }
    found->second.outdatedSince_.reset();
    found->second.handler_(update);
    return true;
}

std::uint64_t ReplicaExchange::version(const std::string &table) const
{
    const auto found = tables_.find(table);
    return found == tables_.end() ? 0 : found->second.replica_.version();
}

std::string ReplicaExchange::value(const std::string &table, const std::string &key) const
{
    const auto found = tables_.find(table);
    return found == tables_.end() ? "" : found->second.replica_.value(key);
}

TableVersions ReplicaExchange::versions() const
{
    TableVersions versions;
    for (const auto &[name, table] : tables_) {
        versions[name] = table.replica_.changedVersion();
    }
    return versions;
}

void ReplicaExchange::requestNewerTables(const InstanceId &from, const TableVersions &versions)
{
    for (const auto &[name, version] : versions) {
        const auto found = tables_.find(name);
        if (found == tables_.end() || version <= found->second.replica_.version()) {
            continue;
        }
        Table &table = found->second;
        if (!table.outdatedSince_) {
            table.outdatedSince_ = loop_.now();
        }
        // An update that is on its way would arrive twice.
        const Duration pushTime = pushTransfers * link_.transferTime(table.replica_.bytes());
        if (loop_.now() - *table.outdatedSince_ >= pushTime) {
            (void)requestTable(name, from, version);
        }
    }
}

bool ReplicaExchange::requestTable(const std::string &name, const InstanceId &from,
                                   std::uint64_t version)
{
    const auto found = tables_.find(name);
    if (found == tables_.end()) {
        return false;
    }
    Table &table = found->second;
    const Duration transfer = link_.transferTime(table.replica_.bytes());
    if (loop_.now() - table.requestedAt_
        < std::max(minRequestInterval, requestTransfers * transfer)) {
        return false;
    }
    table.requestedAt_ = loop_.now();
    log(LogLevel::Info, "table-requested",
        { { "table", name },
          { "version", table.replica_.version() },
          { "known_version", version },
          { "from", from.value() } });
    // A lost request is repeated after a later presence message.
    (void)links_.send(from, MessageKind::TableRequest,
                      packMessage(TableRequestMessage{ name, table.replica_.version() }));
    return true;
}

void ReplicaExchange::receiveUpdate(const InstanceId &from, std::string_view payload)
{
    const auto update = unpackMessage<TableUpdate>(payload);
    if (update.has_error()) {
        log(LogLevel::Warning, "table-update-malformed", { { "from", from.value() } });
        return;
    }
    const bool isNew = apply(update.value(), from.value());
    const bool isFromDomain = directory_.isInSameDomain(from);
    if (!isNew && !isFromDomain) {
        return;
    }
    std::vector<InstanceRecord> receivers = directory_.relays(loop_.now());
    if (isFromDomain) {
        // Also if the update is not new here: its sender relies on this instance.
        const std::vector<InstanceId> &relayTo = update.value().relayTo_;
        const auto isOther = [&relayTo](const InstanceRecord &record) {
            return std::find(relayTo.begin(), relayTo.end(), record.id_) == relayTo.end();
        };
        receivers.erase(std::remove_if(receivers.begin(), receivers.end(), isOther),
                        receivers.end());
    }
    distribute(update.value(), receivers);
}

void ReplicaExchange::receiveVersion(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<TableVersionMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Warning, "table-version-malformed", { { "from", from.value() } });
        return;
    }
    if (message.value().version_ <= version(message.value().table_)) {
        return;
    }
    RemoteVersion &remote = remoteVersions_[message.value().table_];
    if (message.value().version_ > remote.version_) {
        remote = { message.value().version_, {} };
    }
    if (message.value().version_ == remote.version_) {
        remote.holders_.push_back(from);
    }
    if (checkTimer_ == nullptr) {
        checkTimer_ = loop_.callAfter(storeReadTime, [this] { checkRemoteVersions(); });
    }
}

void ReplicaExchange::checkRemoteVersions()
{
    checkTimer_.reset();
    for (auto entry = remoteVersions_.begin(); entry != remoteVersions_.end();) {
        auto &[table, remote] = *entry;
        if (remote.version_ <= version(table) || remote.holders_.empty()) {
            entry = remoteVersions_.erase(entry);
            continue;
        }
        const InstanceId holder = remote.holders_.front();
        log(LogLevel::Info, "table-behind",
            { { "table", table },
              { "version", version(table) },
              { "known_version", remote.version_ },
              { "from", holder.value() } });
        if (requestTable(table, holder, remote.version_)) {
            remote.holders_.pop_front();
        }
        ++entry;
    }
    if (!remoteVersions_.empty()) {
        checkTimer_ = loop_.callAfter(responseTime, [this] { checkRemoteVersions(); });
    }
}

void ReplicaExchange::receiveRequest(const InstanceId &from, std::string_view payload)
{
    const auto request = unpackMessage<TableRequestMessage>(payload);
    if (request.has_error()) {
        log(LogLevel::Warning, "table-request-malformed", { { "from", from.value() } });
        return;
    }
    const auto found = tables_.find(request.value().table_);
    if (found == tables_.end()
        || found->second.replica_.changedVersion() <= request.value().version_) {
        return;
    }
    const TableUpdate snapshot = found->second.replica_.makeSnapshot();
    const std::string message = packMessage(snapshot);
    const bool isLinkFree = link_.availableMessages(message.size(), loop_.now()) > 0;
    logSending(snapshot, message.size(), isLinkFree ? 1 : 0);
    if (isLinkFree) {
        sendUpdate(from, message);
    }
}

} // namespace qz
