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

/// Maximum number of bytes of a snapshot that an instance sends to all other instances of its
/// domain together. The slowest links transfer this in a fifth of a second.
constexpr std::size_t broadcastLimitBytes = std::size_t(256) * 1024;
/// Number of instances that get a larger snapshot directly; the others request it from these.
constexpr std::size_t firstReceiverCount = 3;

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
    tables_.emplace(table, Table{ TableReplica(table), std::move(handler), {} });
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

void ReplicaExchange::publish(const TableUpdate &update)
{
    if (!apply(update, "store")) {
        return; // The update from another instance arrived first.
    }
    sendToDomain(update);
    if (update.rows_.empty()) {
        return;
    }
    const std::string message = packMessage(TableVersionMessage{ update.table_, update.version_ });
    for (const InstanceRecord &reader : directory_.remoteReaders()) {
        // If the message is lost, the reader still gets the change from the store.
        (void)links_.send(reader.id_, MessageKind::TableVersion, message);
    }
}

void ReplicaExchange::sendToDomain(const TableUpdate &update)
{
    const std::string message = packMessage(update);
    auto receivers = directory_.domainPeers();
    if (update.isSnapshot_ && message.size() * receivers.size() > broadcastLimitBytes) {
        receivers.resize(std::min(receivers.size(), firstReceiverCount));
    }
    if (!update.rows_.empty()) {
        logSending(update, message.size(), receivers.size());
    }
    for (const InstanceRecord &receiver : receivers) {
        // An instance that does not get the update learns from the next presence message that
        // its version is outdated.
        (void)links_.send(receiver.id_, MessageKind::TableUpdate, message);
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
    found->second.handler_(update);
    return true;
}

std::uint64_t ReplicaExchange::version(const std::string &table) const
{
    const auto found = tables_.find(table);
    return found == tables_.end() ? 0 : found->second.replica_.version();
}

TableVersions ReplicaExchange::versions() const
{
    TableVersions versions;
    for (const auto &[name, table] : tables_) {
        versions[name] = table.replica_.version();
    }
    return versions;
}

void ReplicaExchange::requestNewerTables(const InstanceId &from, const TableVersions &versions)
{
    for (const auto &[name, version] : versions) {
        const auto found = tables_.find(name);
        if (found != tables_.end() && version > found->second.replica_.version()
            && loop_.now() - found->second.requestedAt_ >= minRequestInterval) {
            found->second.requestedAt_ = loop_.now();
            log(LogLevel::Info, "table-requested",
                { { "table", name },
                  { "version", found->second.replica_.version() },
                  { "known_version", version },
                  { "from", from.value() } });
            // Within the domain, a lost request is repeated after a later presence message.
            (void)links_.send(
                    from, MessageKind::TableRequest,
                    packMessage(TableRequestMessage{ name, found->second.replica_.version() }));
        }
    }
}

void ReplicaExchange::receiveUpdate(const InstanceId &from, std::string_view payload)
{
    const auto update = unpackMessage<TableUpdate>(payload);
    if (update.has_error()) {
        log(LogLevel::Warning, "table-update-malformed", { { "from", from.value() } });
        return;
    }
    if (apply(update.value(), from.value()) && !directory_.isInSameDomain(from)) {
        sendToDomain(update.value());
    }
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
        remote.holders_.pop_front();
        log(LogLevel::Info, "table-behind",
            { { "table", table },
              { "version", version(table) },
              { "known_version", remote.version_ },
              { "from", holder.value() } });
        requestNewerTables(holder, { { table, remote.version_ } });
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
    if (found == tables_.end() || found->second.replica_.version() <= request.value().version_) {
        return;
    }
    const TableUpdate snapshot = found->second.replica_.makeSnapshot();
    const std::string message = packMessage(snapshot);
    logSending(snapshot, message.size(), 1);
    // If the response is lost, an instance of the same domain requests the table again after a
    // later presence message.
    (void)links_.send(from, MessageKind::TableUpdate, message);
}

} // namespace qz
