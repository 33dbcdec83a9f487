// An in-memory table for tests of any package, with the faults that the platform has.
#pragma once

#include "qz_platform/table/table.h"

#include <deque>
#include <map>

namespace qz {

/// Calls take effect when they are made and end when deliver() runs, so that a test decides
/// what happens between the two.
class FakeTable : public Table
{
public:
    enum class Fault {
        None,
        Down,        ///< Calls end with StoreUnavailable and have no effect.
        LoseAnswers, ///< Calls take effect and end with StoreTimeout.
        LoseCalls,   ///< Calls have no effect and end with StoreTimeout.
    };

    void setFault(Fault fault) { fault_ = fault; }

    void read(const std::string &key, ReadDone done) override
    {
        if (fault_ != Fault::None) {
            finish([done = std::move(done), kind = faultKind()] { done(failure(kind, "fault")); });
            return;
        }
        finish([done = std::move(done), row = peek(key)] { done(row); });
    }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        CommitDecision decision;
        if (fault_ == Fault::None || fault_ == Fault::LoseAnswers) {
            decision = apply(writes);
        }
        if (fault_ != Fault::None) {
            finish([done = std::move(done), kind = faultKind()] { done(failure(kind, "fault")); });
            return;
        }
        finish([done = std::move(done), decision] { done(decision); });
    }

    /// Ends all calls made so far, and those made by their completions.
    void deliver()
    {
        while (!pending_.empty()) {
            const auto next = std::move(pending_.front());
            pending_.pop_front();
            next();
        }
    }

    std::optional<TableRow> peek(const std::string &key) const
    {
        const auto row = rows_.find(key);
        return row == rows_.end() ? std::nullopt : std::optional<TableRow>(row->second);
    }

    std::size_t commitCount() const { return commitCount_; }

private:
    CommitDecision apply(const std::vector<TableWrite> &writes)
    {
        CommitDecision decision;
        for (const TableWrite &write : writes) {
            const auto row = peek(write.key_);
            if ((row ? row->version_ : 0) != write.expectedVersion_) {
                decision.conflicts_.push_back(write.key_);
            }
        }
        if (!decision.isApplied()) {
            return decision;
        }
        ++commitCount_;
        for (const TableWrite &write : writes) {
            if (write.value_) {
                rows_[write.key_] = TableRow{ *write.value_, ++lastVersion_ };
            } else {
                rows_.erase(write.key_);
            }
        }
        return decision;
    }

    ErrorKind faultKind() const
    {
        return fault_ == Fault::Down ? ErrorKind::StoreUnavailable : ErrorKind::StoreTimeout;
    }

    void finish(std::function<void()> completion) { pending_.push_back(std::move(completion)); }

    std::map<std::string, TableRow> rows_;
    RowVersion lastVersion_ = 0; ///< Never falls, also over erased rows.
    std::size_t commitCount_ = 0;
    std::deque<std::function<void()>> pending_;
    Fault fault_ = Fault::None;
};

} // namespace qz
