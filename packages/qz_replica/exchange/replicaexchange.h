// Distributes table updates between instances.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_presence/directory/instancedirectory.h"
#include "qz_presence/exchange/presencemessages.h"
#include "qz_replica/exchange/linkusage.h"
#include "qz_replica/table/tablereplica.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
/// it then requests a snapshot of the table.
///
/// No instance occupies its link with tables for longer than LinkUsage allows. It sends a large
/// update to as many instances as that permits, those with the widest links first, and each of
/// them sends it on to a part of the others. It ignores requests that it cannot answer in time;
/// they are repeated to other instances.
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
    void publish(TableUpdate update);

    /// Returns the version of the replica of @p table, or 0 if nothing has been read yet.
    std::uint64_t version(const std::string &table) const;
    /// Returns the version of the last change of each table.
    TableVersions versions() const;
    /// Returns the value of a row of @p table, or an empty one if there is none.
    std::string value(const std::string &table, const std::string &key) const;

    /// Requests the tables of which the instance @p from has a newer version.
    void requestNewerTables(const InstanceId &from, const TableVersions &versions);

private:
    struct Table
    {
        TableReplica replica_;
        UpdateHandler handler_;
        TimePoint requestedAt_{}; ///< Time of the last request for a snapshot.
        /// Time when another instance first announced a newer version than this one has.
        std::optional<TimePoint> outdatedSince_;
    };
    /// The version of a table that instances of other failure domains have announced.
    struct RemoteVersion
    {
        std::uint64_t version_ = 0;
        std::deque<InstanceId> holders_; ///< Those that were not asked for the table yet.
    };
    /// @p source is "store" or the id of the instance that sent the update.
    bool apply(const TableUpdate &update, const std::string &source);
    /// Sends @p update to @p receivers, directly or through others of them.
    void distribute(TableUpdate update, const std::vector<InstanceRecord> &receivers);
    void sendUpdate(const InstanceId &to, const std::string &message);
    /// Requests a table unless an earlier request may still be answered. Returns whether it did.
    bool requestTable(const std::string &name, const InstanceId &from, std::uint64_t version);
    void receiveVersion(const InstanceId &from, std::string_view payload);
    void checkRemoteVersions();
    void receiveUpdate(const InstanceId &from, std::string_view payload);
    void receiveRequest(const InstanceId &from, std::string_view payload);

    EventLoop &loop_;
    PeerLinks &links_;
    const InstanceDirectory &directory_;
    LinkUsage link_;
    std::map<std::string, Table> tables_;
    std::map<std::string, RemoteVersion> remoteVersions_; ///< Highest announced version by table.
    Timers::HandlePtr checkTimer_;
};

} // namespace qz
