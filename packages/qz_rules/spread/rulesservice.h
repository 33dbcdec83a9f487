// Binds the decisions about rules to the table, the object store, timers and peers.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_rules/spread/documentfetcher.h"
#include "qz_rules/spread/ruleskeeper.h"
#include "qz_rules/store/rulesstore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace qz {

/// How the service reaches peers and its owner. A request or answer may get lost.
struct RulesCallbacks
{
    std::function<void(const VoterId &to, const RulesRequest &)> sendRequest_;
    std::function<void(const VoterId &to, const RulesAnswer &)> sendAnswer_;
    std::function<void(const RulesRevision &)> adopted_; ///< A higher version is adopted.
};

/// What one instance can say of its rules, for operators and state dumps.
struct RulesStatus
{
    RulesDigest digest_;
    ObjectHash hash_;    ///< Of the adopted document.
    std::string author_; ///< Of the adopted version.
    bool isInForce_ = false;
    bool isEstablished_ = false; ///< The known head counts as accepted.
    bool isPoller_ = false;
    std::optional<Duration> confirmationAge_;
    std::optional<Duration> tableAge_;
    std::size_t voterCount_ = 0;
};

/// What an operator asks to be published.
struct PublishOrder
{
    RulesVersion expected_ = 0;
    std::string document_; ///< JSON text.
    std::string author_;
    std::string attemptToken_; ///< Repeated when the same attempt is made again.
};

/// The rules of one instance, at work: polls, asks peers, fetches, adopts, publishes.
/// Everything runs on the loop of the timers that it was built with.
/// @see RulesKeeper, RulesStore
class RulesService
{
public:
    class Builder;
    using PublishDone = RulesStore::PublishDone;

    RulesService(const RulesService &) = delete;
    RulesService &operator=(const RulesService &) = delete;

    /// The live members of the fleet.
    void setMembers(std::vector<VoterId> members);
    /// The instances that the platform lists now; not to be called with an old list.
    void setListed(const std::set<InstanceId> &listed);

    /// A digest that came with any message of a peer.
    void takeDigest(const VoterId &from, const RulesDigest &digest);
    void takeRequest(const VoterId &from, const RulesRequest &request);
    void takeAnswer(const VoterId &from, const RulesAnswer &answer);

    /// To be put on each message to a peer.
    RulesDigest digest() const { return keeper_.digest(); }

    /// The revision under which new work may be taken. Errors: RulesNotInForce.
    Result<std::shared_ptr<const RulesRevision>> inForce() const;

    /// The adopted revision, in force or not; nullptr before the first.
    std::shared_ptr<const RulesRevision> adopted() const { return keeper_.adopted(); }

    /// Publishes a version and waits until it is accepted: written, and held by a majority of
    /// the voters. Errors as RulesStore::publish(); StoreTimeout also if it is written and
    /// its acceptance could not be seen in time.
    void publish(PublishOrder order, PublishDone done);

    RulesStatus status() const;

private:
    struct OpenRequest
    {
        VoterId to_;
        TimePoint sentAt_;
        bool fetches_ = false;
    };
    struct OpenPublication
    {
        RulesRevision revision_;
        TimePoint deadline_;
        PublishDone done_;
    };

    explicit RulesService(Builder &builder);
    void tick();
    void poll();
    void renew();
    void fetch();
    void carryOut(const DocumentFetcher::Step &step);
    void adoptFetched();
    void adopt(RulesRevision revision);
    void ask(const VoterId &to, std::vector<ObjectHash> wanted);
    void dropOldRequests(TimePoint now);
    void takePublished(RulesRevision revision, PublishDone done);
    void settlePublications();
    std::map<ObjectHash, std::string> heldObjects(const std::vector<ObjectHash> &wanted) const;

    const Clock &clock_;
    Timers &timers_;
    RulesCallbacks callbacks_;
    std::mt19937_64 random_;
    RulesStore store_;
    RulesKeeper keeper_;
    DocumentFetcher fetcher_;
    std::optional<RulesHead> target_; ///< Whose document is being fetched.
    ObjectHash rejected_;             ///< A document that cannot be read; empty if none.
    std::optional<VoterId> holder_;   ///< The last peer seen to hold the known version.
    RulesStamp holderStamp_;          ///< What holder_ held then.
    std::map<std::uint64_t, OpenRequest> requests_;
    std::uint64_t lastRequestId_ = 0;
    std::vector<OpenPublication> publications_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< For late completions.
    Timers::HandlePtr timer_;
};

/// Builds a RulesService. The table, object store, clock and timers outlive it.
class RulesService::Builder
{
public:
    Builder() = default;
    Builder(const Builder &) = delete;
    Builder &operator=(const Builder &) = delete;

    Builder &setSelf(VoterId self);
    Builder &setTable(Table &table);
    Builder &setObjects(ObjectStore &objects);
    Builder &setClock(const Clock &clock);
    Builder &setTimers(Timers &timers);
    Builder &setSettings(RulesSpreadSettings settings);
    Builder &setSeed(std::uint64_t seed);
    Builder &setCallbacks(RulesCallbacks callbacks);

    /// To be called once, with everything but settings and seed set.
    std::unique_ptr<RulesService> build();

private:
    friend class RulesService;

    VoterId self_;
    Table *table_ = nullptr;
    ObjectStore *objects_ = nullptr;
    const Clock *clock_ = nullptr;
    Timers *timers_ = nullptr;
    RulesSpreadSettings settings_;
    std::uint64_t seed_ = 0;
    RulesCallbacks callbacks_;
};

} // namespace qz
