// A replica of a table, and the updates that keep it current.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace qz {

/// A row of a table, or in an update the deletion of a row.
struct ReplicaRow
{
    std::string key_;
    std::string value_; ///< Opaque bytes; only the user of the table interprets them.
    bool isDeleted_ = false;

    MSGPACK_DEFINE(key_, value_, isDeleted_)
};

/// An update of a table from one version to a later one.
struct TableUpdate
{
    std::string table_;
    bool isSnapshot_ = false;       ///< The update contains all rows, not only changed ones.
    std::uint64_t fromVersion_ = 0; ///< Version before the update; unused for a snapshot.
    std::uint64_t version_ = 0;     ///< Version after the update.
    /// Time for which rows of existing objects may still be missing after an outage of the store.
    Duration grace_{ 0 };
    std::vector<ReplicaRow> rows_;
    std::vector<InstanceId> relayTo_; ///< Instances to which the receiver sends the update on.

    MSGPACK_DEFINE(table_, isSnapshot_, fromVersion_, version_, grace_, rows_, relayTo_)
};

/// A copy of one table.
///
/// Invariant: the version never decreases, and the rows are those of the current version. They are
/// also those of each version since changedVersion().
/// @see ReplicaExchange
class TableReplica
{
public:
    explicit TableReplica(std::string table);

    /// Applies @p update. Returns false and changes nothing if the update starts after the current
    /// version or does not lead to a later one, or if it contains only changes and nothing has
    /// been read yet.
    bool apply(const TableUpdate &update);

    /// Returns a snapshot: an update with all rows to changedVersion(). It can be applied to any
    /// older replica.
    TableUpdate makeSnapshot() const;

    /// Returns the current version, or 0 if nothing has been read yet.
    std::uint64_t version() const { return version_; }
    /// Returns the version of the last update with rows. An update from any later version is also
    /// one from this version.
    std::uint64_t changedVersion() const { return changedVersion_; }
    const std::string &name() const { return table_; }

    /// Returns the value of the row @p key, or an empty one if there is none.
    std::string value(const std::string &key) const;

    /// Returns the number of bytes of all keys and values.
    std::size_t bytes() const;

private:
    const std::string table_;
    std::uint64_t version_ = 0;
    std::uint64_t changedVersion_ = 0;
    std::map<std::string, std::string> rows_; ///< Values by key.
};

} // namespace qz
