// A copy of one table, and the changes that keep it up to date.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace qz {

/// A row, or in a change the mark that it is gone.
struct ReplicaRow
{
    std::string key_;
    std::string value_; ///< Bytes that only the table's user understands.
    bool isDeleted_ = false;

    MSGPACK_DEFINE(key_, value_, isDeleted_)
};

/// A step from one version of a table to a later one.
struct TableUpdate
{
    std::string table_;
    bool isSnapshot_ = false;       ///< All rows; otherwise those that changed.
    std::uint64_t fromVersion_ = 0; ///< Version before; of no meaning if whole.
    std::uint64_t version_ = 0;     ///< Version after.
    /// Rows may be missing for so long yet though what they name is there: the store was away.
    Duration grace_{ 0 };
    std::vector<ReplicaRow> rows_;

    MSGPACK_DEFINE(table_, isSnapshot_, fromVersion_, version_, grace_, rows_)
};

/// Invariant: the version never falls, and the rows are those of the version.
/// @see ReplicaExchange
class TableReplica
{
public:
    explicit TableReplica(std::string table);

    /// Takes a step. False, and no change, if it does not begin at this version or before, or
    /// does not lead beyond it.
    bool apply(const TableUpdate &update);

    /// All rows, as a step that any replica can take.
    TableUpdate makeSnapshot() const;

    /// 0: nothing has been read yet.
    std::uint64_t version() const { return version_; }
    const std::string &name() const { return table_; }

private:
    const std::string table_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::string> rows_; ///< Values by key.
};

} // namespace qz
