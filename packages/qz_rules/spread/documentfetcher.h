// Decides from whom the objects of a document are fetched.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_rules/store/rulesdocument.h"
#include "qz_rules/store/ruleshead.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace qz {

/// Fetches one document at a time: from a peer that holds it, else from the object store.
/// Peers come first, because a change would otherwise cost the store reads by every
/// instance; each holder found by a request of its own passes the document on.
/// Pure: asks for steps by value and is told their results.
/// @see RulesService
class DocumentFetcher
{
public:
    struct AskPeer
    {
        VoterId peer_;
        std::vector<ObjectHash> wanted_;
    };
    struct ReadStore
    {
        ObjectHash hash_;
    };
    using Step = std::variant<std::monostate, AskPeer, ReadStore>;

    DocumentFetcher() = default;
    DocumentFetcher(const DocumentFetcher &) = delete;
    DocumentFetcher &operator=(const DocumentFetcher &) = delete;

    /// Turns to the document @p hash unless that is the one being fetched. @p known are
    /// objects at hand.
    void setTarget(const ObjectHash &hash, const RulesObjects &known, TimePoint now);

    /// What to do now. @p holder is a peer that holds the target, if one is known;
    /// @p goesToStore allows the object store at once, else only after a wait.
    Step next(const std::optional<VoterId> &holder, bool goesToStore, TimePoint now);

    /// Takes the objects that a peer answered with, none if it holds none.
    void takeObjects(const std::map<ObjectHash, std::string> &objects);

    /// Takes what the object store answered.
    void takeStoreObject(const ObjectHash &hash, const Result<std::string> &object, TimePoint now);

    bool isComplete() const { return assembler_ != nullptr && assembler_->missing().empty(); }

    /// The document; to be called when isComplete().
    std::shared_ptr<const RulesDocument> finish();

private:
    std::unique_ptr<RulesAssembler> assembler_; ///< None: nothing to fetch.
    TimePoint startedAt_;
    std::optional<TimePoint> openSince_; ///< The step that has not been answered.
    std::optional<TimePoint> failedAt_;  ///< The last useless answer.
    bool peerFailed_ = false;            ///< The last answer of a peer was useless.
};

} // namespace qz
