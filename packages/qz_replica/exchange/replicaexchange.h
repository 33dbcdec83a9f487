// Hands tables on between the instances of a failure domain.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_presence/directory/instancedirectory.h"
#include "qz_presence/exchange/presencemessages.h"
#include "qz_replica/table/tablereplica.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace qz {

/// Asks another instance for a whole table.
struct TableRequestMessage
{
    std::string table_;
    std::uint64_t version_ = 0; ///< What the sender has.

    MSGPACK_DEFINE(table_, version_)
};

/// Tells instances of other failure domains that a table has changed.
struct TableVersionMessage
{
    std::string table_;
    std::uint64_t version_ = 0; ///< What the sender has.

    MSGPACK_DEFINE(table_, version_)
};

/// Keeps the replicas of an instance. What one instance has read from the store it sends to
/// its neighbours at once; an instance that sees in another's presence that it is behind,
/// because a message was lost or because it has just started, asks for the whole table. A long
/// table goes to a few neighbours first, those that callers are sent to, and from them to the
/// others.
///
/// The readers of other failure domains are told the version only, since they read the store
/// themselves; one that is still behind a moment later, because its own way to the store has
/// failed without notice, asks for the table and hands it on.
/// @see TableReplica, PresenceDriver
class ReplicaExchange
{
public:
    /// Takes each step that was applied, in order.
    using UpdateHandler = std::function<void(const TableUpdate &)>;

    ReplicaExchange(EventLoop &loop, PeerLinks &links, const InstanceDirectory &directory);
    ~ReplicaExchange();
    ReplicaExchange(const ReplicaExchange &) = delete;
    ReplicaExchange &operator=(const ReplicaExchange &) = delete;

    /// All tables are added before start().
    void addTable(const std::string &table, UpdateHandler handler);
    void start();

    /// Takes a step that was read from the store, and hands it on.
    void publish(const TableUpdate &update);

    std::uint64_t version(const std::string &table) const;
    TableVersions versions() const;

    /// Another instance has these versions.
    void requestNewerTables(const InstanceId &from, const TableVersions &versions);

private:
    struct Table
    {
        TableReplica replica_;
        UpdateHandler handler_;
        TimePoint requestedAt_{}; ///< From another instance, as a whole.
    };
    /// What an instance of another failure domain has of a table.
    struct RemoteVersion
    {
        InstanceId from_;
        std::uint64_t version_ = 0;
    };
    bool apply(const TableUpdate &update);
    void sendToNeighbours(const TableUpdate &update);
    void receiveVersion(const InstanceId &from, std::string_view payload);
    void checkRemoteVersions();
    void receiveUpdate(const InstanceId &from, std::string_view payload);
    void receiveRequest(const InstanceId &from, std::string_view payload);

    EventLoop &loop_;
    PeerLinks &links_;
    const InstanceDirectory &directory_;
    std::map<std::string, Table> tables_;
    std::map<std::string, RemoteVersion> remoteVersions_; ///< The highest by table.
    Timers::HandlePtr check_;
};

} // namespace qz
