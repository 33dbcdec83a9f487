// Distributes table updates between instances.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_presence/directory/instancedirectory.h"
#include "qz_presence/exchange/presencemessages.h"
#include "qz_replica/table/tablereplica.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace qz {

/// Requests a snapshot of a table from another instance.
struct TableRequestMessage
{
    std::string table_;
    std::uint64_t version_ = 0; ///< Version that the sender has.

    MSGPACK_DEFINE(table_, version_)
};

/// Informs instances of other failure domains about a new version of a table.
struct TableVersionMessage
{
    std::string table_;
    std::uint64_t version_ = 0; ///< Version that the sender has.

    MSGPACK_DEFINE(table_, version_)
};

/// Keeps the table replicas of an instance up to date. An instance that has read an update from
/// the store sends it to all other instances of its failure domain. An instance may have an older
/// version than another one announces, because a message was lost or because it has just started;
/// it then requests a snapshot of the table. A large snapshot is sent to a few instances first,
/// which are the preferred ones for callers; the other instances request it from them.
///
/// The readers of other failure domains get only the new version number, since they read the store
/// themselves. A reader that still has an older version shortly afterwards has lost its connection
/// to the store without noticing; it requests the table, from one announcing instance after the
/// other, and distributes it in its own domain.
/// @see TableReplica, PresenceDriver
class ReplicaExchange
{
public:
    /// Called with each update that was applied, in order.
    using UpdateHandler = std::function<void(const TableUpdate &)>;

    ReplicaExchange(EventLoop &loop, PeerLinks &links, const InstanceDirectory &directory);
    ~ReplicaExchange();
    ReplicaExchange(const ReplicaExchange &) = delete;
    ReplicaExchange &operator=(const ReplicaExchange &) = delete;

    /// Adds a table. All tables must be added before start().
    void addTable(const std::string &table, UpdateHandler handler);
    void start();

    /// Applies an update that was read from the store, and distributes it.
    void publish(const TableUpdate &update);

    /// Returns the version of the replica of @p table, or 0 if nothing has been read yet.
    std::uint64_t version(const std::string &table) const;
    TableVersions versions() const;

    /// Requests the tables of which the instance @p from has a newer version.
    void requestNewerTables(const InstanceId &from, const TableVersions &versions);

private:
    struct Table
    {
        TableReplica replica_;
        UpdateHandler handler_;
        TimePoint requestedAt_{}; ///< Time of the last request for a snapshot.
    };
    /// The version of a table that instances of other failure domains have announced.
    struct RemoteVersion
    {
        std::uint64_t version_ = 0;
        std::deque<InstanceId> holders_; ///< Those that were not asked for the table yet.
    };
    /// @p source is "store" or the id of the instance that sent the update.
    bool apply(const TableUpdate &update, const std::string &source);
    void sendToDomain(const TableUpdate &update);
    void receiveVersion(const InstanceId &from, std::string_view payload);
    void checkRemoteVersions();
    void receiveUpdate(const InstanceId &from, std::string_view payload);
    void receiveRequest(const InstanceId &from, std::string_view payload);

    EventLoop &loop_;
    PeerLinks &links_;
    const InstanceDirectory &directory_;
    std::map<std::string, Table> tables_;
    std::map<std::string, RemoteVersion> remoteVersions_; ///< Highest announced version by table.
    Timers::HandlePtr checkTimer_;
};

} // namespace qz
