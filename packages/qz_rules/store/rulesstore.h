// Versions of the rules in the platform's table and object store.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_platform/objects/objectstore.h"
#include "qz_platform/table/table.h"
#include "qz_rules/model/ruleset.h"
#include "qz_rules/store/rulesdocument.h"
#include "qz_rules/store/ruleshead.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace qz {

/// A rule set with the document and the head that it comes from.
struct RulesRevision
{
    RulesHead head_;
    std::shared_ptr<const RulesDocument> document_;
    std::shared_ptr<const RuleSet> rules_;
};

/// One attempt to make a document the next version.
struct Publication
{
    RulesVersion expected_ = 0; ///< The version that the author looked at.
    std::string document_;      ///< JSON text.
    std::string author_;
    std::string attemptToken_;    ///< Unique to this attempt.
    RulesStamp base_;             ///< The head that a majority of its voters holds.
    std::vector<VoterId> voters_; ///< Those that vouch for the new version.
    RulesObjects stored_;         ///< Objects of the base, which the store has already.
};

/// Reads and writes the versions of the rules.
///
/// A version is written in this order: the objects, by content hash, then in one transaction
/// the head and the history row "rules/history/<version>", on condition that the head row is
/// still the one that was looked at. A writer that stops in between leaves objects that no
/// head names, which are harmless.
///
/// What publish() says of an attempt:
///  - a revision: it is the head of that version in the table;
///  - InvalidRules: it was not written, the document is bad;
///  - RulesConflict: it was not and will not be written; the message names the version that
///    is to be looked at;
///  - StoreUnavailable: it was not and will not be written;
///  - StoreTimeout: it may have been, or may yet be, written.
/// @see RulesService
class RulesStore
{
public:
    using HeadDone = std::function<void(Result<RulesHead>)>;
    using PublishDone = std::function<void(Result<RulesRevision>)>;
    using RenewDone = std::function<void(Result<RulesHead>)>;

    static constexpr const char *headKey = "rules/head";
    static std::string historyKey(RulesVersion version);
    static std::string objectName(const ObjectHash &hash);

    /// All three outlive the store and the calls that it has started.
    RulesStore(Table &table, ObjectStore &objects, Timers &timers);
    RulesStore(const RulesStore &) = delete;
    RulesStore &operator=(const RulesStore &) = delete;

    /// The head as last committed; one that is not set if there is none. Errors: as Table.
    void readHead(HeadDone done);

    /// Attempts to publish. Ends exactly once, after retries of its own.
    void publish(Publication publication, PublishDone done);

    /// Writes @p head again with other voters and the next epoch, if it is still the head.
    /// Errors: as Table, and ConditionFailed. After a lost answer the head is read later.
    void renewVoters(const RulesHead &head, std::vector<VoterId> voters, RenewDone done);

    /// The object with the hash @p hash, unchecked. Errors: as ObjectStore.
    void fetch(const ObjectHash &hash, ObjectStore::GetDone done);

private:
    Table &table_;
    ObjectStore &objects_;
    Timers &timers_;
};

} // namespace qz
