// Reading heads and objects; publishing is in PublishAttempt.
#include "qz_rules/store/rulesstore.h"

#include "qz_rules/store/publishattempt.h"

#include <utility>

namespace qz {

namespace {

/// The head that @p row holds, and one that is not set for no row.
Result<RulesHead> headOfRow(const std::optional<TableRow> &row)
{
    return row ? decodeHead(row->value_) : Result<RulesHead>(RulesHead{});
}

} // namespace

std::string RulesStore::historyKey(RulesVersion version)
{
    return "rules/history/" + std::to_string(version);
}

std::string RulesStore::objectName(const ObjectHash &hash)
{
    return "rules-" + hash;
}

RulesStore::RulesStore(Table &table, ObjectStore &objects, Timers &timers)
    : table_(table)
    , objects_(objects)
    , timers_(timers)
{
}

void RulesStore::readHead(HeadDone done)
{
    table_.read(headKey, [done = std::move(done)](const auto &row) {
        done(row ? headOfRow(row.value()) : Result<RulesHead>(row.error()));
    });
}

void RulesStore::publish(Publication publication, PublishDone done)
{
    PublishAttempt::start(PublishStores{ table_, objects_, timers_ }, std::move(publication),
                          std::move(done));
}

void RulesStore::renewVoters(const RulesHead &head, std::vector<VoterId> voters, RenewDone done)
{
    RulesHead next = head;
    ++next.stamp_.epoch_;
    next.previousVoters_ = head.voters_;
    next.voters_ = std::move(voters);
    table_.read(headKey,
                [this, seen = head.stamp_, next = std::move(next),
                 done = std::move(done)](const auto &row) {
                    const Result<RulesHead> current =
                            row ? headOfRow(row.value()) : Result<RulesHead>(row.error());
                    if (!current) {
                        done(current.error());
                        return;
                    }
                    if (!row.value() || current.value().stamp_ != seen) {
                        done(failure(ErrorKind::ConditionFailed, "the rules head has moved on"));
                        return;
                    }
                    table_.commit(
                            { TableWrite{ headKey, row.value()->version_, encodeHead(next) } },
                            [next, done](const Result<CommitDecision> &decision) {
                                if (!decision) {
                                    done(decision.error());
                                } else if (!decision.value().isApplied()) {
                                    done(failure(ErrorKind::ConditionFailed,
                                                 "the rules head has moved on"));
                                } else {
                                    done(next);
                                }
                            });
                });
}

void RulesStore::fetch(const ObjectHash &hash, ObjectStore::GetDone done)
{
    objects_.get(objectName(hash), std::move(done));
}

} // namespace qz
