// Applies updates to the replica of a table.
#include "qz_replica/table/tablereplica.h"

#include <utility>

namespace qz {

TableReplica::TableReplica(std::string table)
    : table_(std::move(table))
{
}

bool TableReplica::apply(const TableUpdate &update)
{
    const bool isContiguous = update.isSnapshot_ || update.fromVersion_ <= version_;
    if (update.version_ <= version_ || !isContiguous) {
        return false;
    }
    if (!update.isSnapshot_ && version_ == 0) {
        return false; // Changes to a table that has not been read yet.
    }
    if (update.isSnapshot_) {
        rows_.clear();
    }
    for (const ReplicaRow &row : update.rows_) {
        if (row.isDeleted_) {
            rows_.erase(row.key_);
        } else {
            rows_[row.key_] = row.value_;
        }
    }
    version_ = update.version_;
    if (update.isSnapshot_ || !update.rows_.empty()) {
        changedVersion_ = update.version_;
    }
    return true;
}

TableUpdate TableReplica::makeSnapshot() const
{
    TableUpdate update;
    update.table_ = table_;
    update.isSnapshot_ = true;
    update.version_ = changedVersion_;
    for (const auto &[key, value] : rows_) {
        update.rows_.push_back({ key, value, false });
    }
    return update;
}

std::string TableReplica::value(const std::string &key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? "" : found->second;
}

std::size_t TableReplica::bytes() const
{
    std::size_t bytes = 0;
    for (const auto &[key, value] : rows_) {
        bytes += key.size() + value.size();
    }
    return bytes;
}

} // namespace qz
