// The platform's transactional table, as the other packages see it.
#pragma once

#include "qz_core/errors/error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace qz {

/// The version of one row: 0 while it is absent, and rising with each write to it. The table
/// never gives the same version twice for a key, also not after the row was erased: claims
/// of idempotency keys are safe only under that rule.
using RowVersion = std::uint64_t;

struct TableRow
{
    std::string value_; ///< JSON text.
    RowVersion version_ = 0;
};

/// One conditional write of a transaction.
struct TableWrite
{
    std::string key_;
    RowVersion expectedVersion_ = 0;   ///< 0: only if the row is absent.
    std::optional<std::string> value_; ///< JSON text; no value erases the row.
};

/// What became of a transaction that the table decided.
struct CommitDecision
{
    /// Keys whose condition did not hold; the transaction was applied if and only if empty.
    std::vector<std::string> conflicts_;

    bool isApplied() const { return conflicts_.empty(); }
};

/// The platform's table. Calls end exactly once, never before they return, on the loop.
///
/// Errors: StoreUnavailable, the call was certainly not carried out; StoreTimeout, it may
/// have been, now or later; MalformedReply, as StoreTimeout. Whoever needs to know after a
/// StoreTimeout reads the row back and compares what it wrote.
class Table
{
public:
    using ReadDone = std::function<void(Result<std::optional<TableRow>>)>;
    using CommitDone = std::function<void(Result<CommitDecision>)>;

    Table() = default;
    Table(const Table &) = delete;
    Table &operator=(const Table &) = delete;
    virtual ~Table() = default;

    /// Reads one row as last committed.
    virtual void read(const std::string &key, ReadDone done) = 0;

    /// Applies all writes or none of them.
    virtual void commit(std::vector<TableWrite> writes, CommitDone done) = 0;
};

} // namespace qz
