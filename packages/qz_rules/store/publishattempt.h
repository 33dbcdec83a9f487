// One attempt to publish a version, from validation to a settled outcome.
#pragma once

#include "qz_rules/store/rulesstore.h"

#include <memory>
#include <vector>

namespace qz {

struct PublishStores
{
    Table &table_;
    ObjectStore &objects_;
    Timers &timers_;
};

/// Carries out RulesStore::publish(). Keeps itself alive until it has called back.
///
/// The commit is the only step that makes the version real. It is sent again as it was, on
/// condition of the same row version: however many of the copies arrive, and whenever, one
/// at most applies. So a lost answer leaves these cases, told apart by reading back:
///  - the head row has not changed: undecided, the commit is sent again;
///  - the head, or the history row of this version, holds the attempt's token: published;
///  - the head row has changed otherwise: no copy can apply any more.
/// Invariant: isUncertain_ from the first commit whose answer was lost; from then on "not
/// published" is only said in the last of these cases.
class PublishAttempt : public std::enable_shared_from_this<PublishAttempt>
{
public:
    static void start(PublishStores stores, Publication publication, RulesStore::PublishDone done);

    PublishAttempt(const PublishAttempt &) = delete;
    PublishAttempt &operator=(const PublishAttempt &) = delete;
    ~PublishAttempt() = default;

private:
    PublishAttempt(PublishStores stores, Publication publication, RulesStore::PublishDone done);

    bool validate();
    void readBase();
    void takeBase(const std::optional<TableRow> &row);
    void putObjects();
    void putNext();
    void takePut(const ObjectHash &hash, const Result<void> &result);
    void commit();
    void takeCommit(const Result<CommitDecision> &decision);
    void readBack();
    void takeHeadRow(const std::optional<TableRow> &row);
    void readHistory(RulesVersion current);
    void takeUndecided(const Error &error, void (PublishAttempt::*next)());
    void retry(void (PublishAttempt::*next)());
    void fail(ErrorKind kind, std::string message);
    void failConflict(RulesVersion current);
    void failRenewed(const RulesStamp &current);
    bool isOwn(const RulesHead &head) const;
    void succeed();

    PublishStores stores_;
    Publication publication_;
    RulesStore::PublishDone done_; ///< Empty once it has been called.
    RulesRevision revision_;
    RowVersion headRow_ = 0;           ///< The condition of the commit.
    std::vector<ObjectHash> unstored_; ///< Still to be put.
    std::size_t openPuts_ = 0;
    int triesLeft_;
    bool isUncertain_ = false;
    Timers::HandlePtr timer_;
};

} // namespace qz
