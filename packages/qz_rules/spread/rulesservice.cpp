// The work of keeping one instance's rules up to date.
#include "qz_rules/spread/rulesservice.h"

#include "qz_core/logging/logger.h"

#include <cassert>
#include <utility>

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickInterval = 250ms;
constexpr Duration requestLifetime = 10s;
constexpr Duration acceptanceLimit = 10s;
constexpr std::size_t answerLimitBytes = std::size_t{ 256 } * 1024;

template<class... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace

RulesService::RulesService(Builder &builder)
    : clock_(*builder.clock_)
    , timers_(*builder.timers_)
    , callbacks_(std::move(builder.callbacks_))
    , random_(builder.seed_)
    , store_(*builder.table_, *builder.objects_, *builder.timers_)
    , keeper_(builder.self_, builder.settings_, clock_.now())
{
    timer_ = timers_.callEvery(tickInterval, [this] { tick(); });
}

void RulesService::setMembers(std::vector<VoterId> members)
{
    keeper_.setMembers(std::move(members));
}

void RulesService::setListed(const std::set<InstanceId> &listed)
{
    keeper_.setListed(listed, clock_.now());
}

void RulesService::takeDigest(const VoterId &from, const RulesDigest &digest)
{
    const bool isNews = keeper_.known().stamp_ < digest.known_ && !keeper_.isHeadBehind();
    keeper_.takeDigest(digest);
    if (isNews) {
        ask(from, {});
    }
}

void RulesService::takeRequest(const VoterId &from, const RulesRequest &request)
{
    RulesAnswer answer = keeper_.answer(request, clock_.now());
    answer.objects_ = heldObjects(request.wanted_);
    callbacks_.sendAnswer_(from, answer);
}

void RulesService::takeAnswer(const VoterId &from, const RulesAnswer &answer)
{
    const auto found = requests_.find(answer.requestId_);
    if (found == requests_.end() || found->second.to_ != from) {
        return; // Too late to be of use.
    }
    const OpenRequest request = found->second;
    requests_.erase(found);
    keeper_.takeAnswer(from, answer, request.sentAt_);
    if (holderStamp_.version_ <= answer.digest_.adopted_.version_) {
        holder_ = from;
        holderStamp_ = answer.digest_.adopted_;
    }
    if (request.fetches_) {
        fetcher_.takeObjects(answer.objects_);
    }
    fetch();
    settlePublications();
}

Result<std::shared_ptr<const RulesRevision>> RulesService::inForce() const
{
    if (!keeper_.isInForce(clock_.now())) {
        return failure(ErrorKind::RulesNotInForce,
                       "cannot confirm that " + toString(keeper_.digest().adopted_)
                               + " is the newest");
    }
    return keeper_.adopted();
}

void RulesService::publish(PublishOrder order, PublishDone done)
{
    const RulesHead &known = keeper_.known();
    const bool isBase = known.stamp_.version_ == order.expected_;
    if (isBase && !keeper_.canPublish(clock_.now())) {
        done(failure(ErrorKind::StoreUnavailable,
                     "not published: this instance does not hear from a majority of the voters of "
                             + toString(known.stamp_)));
        return;
    }
    Publication publication;
    publication.expected_ = order.expected_;
    publication.document_ = std::move(order.document_);
    publication.author_ = std::move(order.author_);
    publication.attemptToken_ = std::move(order.attemptToken_);
    publication.base_ = known.stamp_;
    publication.voters_ = keeper_.votersToPublish();
    const auto adopted = keeper_.adopted();
    if (adopted != nullptr && isBase && adopted->head_.hash_ == known.hash_) {
        publication.stored_ = adopted->document_->objects();
    }
    store_.publish(std::move(publication),
                   [this, alive = std::weak_ptr<bool>(isAlive_),
                    done = std::move(done)](Result<RulesRevision> revision) {
                       if (alive.expired()) {
                           return;
                       }
                       if (!revision) {
                           done(std::move(revision));
                       } else {
                           takePublished(std::move(revision.value()), done);
                       }
                   });
}

RulesStatus RulesService::status() const
{
    const TimePoint now = clock_.now();
    RulesStatus status;
    status.digest_ = keeper_.digest();
    if (const auto adopted = keeper_.adopted()) {
        status.hash_ = adopted->head_.hash_;
        status.author_ = adopted->head_.author_;
    }
    status.isInForce_ = keeper_.isInForce(now);
    status.isEstablished_ = keeper_.isEstablished();
    status.isPoller_ = keeper_.isPoller(now);
    status.confirmationAge_ = keeper_.confirmationAge(now);
    status.tableAge_ = keeper_.tableAge(now);
    status.voterCount_ = keeper_.known().voters_.size();
    return status;
}

void RulesService::tick()
{
    const TimePoint now = clock_.now();
    dropOldRequests(now);
    keeper_.tick(now);
    if (keeper_.isPollDue(now)) {
        poll();
    }
    if (const auto peer = keeper_.choosePeer(random_)) {
        ask(*peer, {});
    }
    fetch();
    settlePublications();
    renew();
}

void RulesService::poll()
{
    const TimePoint sentAt = clock_.now();
    keeper_.notePoll(sentAt);
    store_.readHead(
            [this, alive = std::weak_ptr<bool>(isAlive_), sentAt](const Result<RulesHead> &head) {
                if (!alive.expired() && head) {
                    keeper_.takeTableHead(head.value(), sentAt);
                    fetch();
                }
            });
}

void RulesService::renew()
{
    const TimePoint now = clock_.now();
    if (!keeper_.isRenewalDue(now)) {
        return;
    }
    keeper_.noteRenewal(now);
    // The next poll reads what became of it.
    store_.renewVoters(keeper_.known(), keeper_.chooseVoters(), [](const Result<RulesHead> &) {});
}

void RulesService::fetch()
{
    if (!keeper_.isBehind() || keeper_.known().hash_ == rejected_) {
        return;
    }
    const TimePoint now = clock_.now();
    const auto adopted = keeper_.adopted();
    target_ = keeper_.known();
    fetcher_.setTarget(target_->hash_,
                       adopted != nullptr ? adopted->document_->objects() : RulesObjects{}, now);
    const bool isHeld = holder_ && target_->stamp_.version_ <= holderStamp_.version_;
    carryOut(fetcher_.next(isHeld ? holder_ : std::nullopt, keeper_.isPoller(now), now));
    if (fetcher_.isComplete()) {
        adoptFetched();
    }
}

void RulesService::carryOut(const DocumentFetcher::Step &step)
{
    const auto readStore = [this](const DocumentFetcher::ReadStore &read) {
        store_.fetch(read.hash_,
                     [this, alive = std::weak_ptr<bool>(isAlive_),
                      hash = read.hash_](const Result<std::string> &object) {
                         if (!alive.expired()) {
                             fetcher_.takeStoreObject(hash, object, clock_.now());
                             fetch();
                         }
                     });
    };
    std::visit(Overloaded{ [](std::monostate) {},
                           [this](const DocumentFetcher::AskPeer &step) {
                               ask(step.peer_, step.wanted_);
                           },
                           readStore },
               step);
}

void RulesService::adoptFetched()
{
    RulesRevision revision;
    revision.head_ = *target_;
    revision.document_ = fetcher_.finish();
    auto rules = RuleSet::parse(revision.document_->text());
    if (!rules) {
        rejected_ = target_->hash_; // Published by a program that checks in another way.
        log(LogLevel::Error, "rules-rejected",
            { { "hash", rejected_ }, { "problems", rules.error().message_ } });
        return;
    }
    revision.rules_ = std::move(rules.value());
    adopt(std::move(revision));
}

void RulesService::adopt(RulesRevision revision)
{
    if (keeper_.adopt(std::move(revision))) {
        keeper_.tick(clock_.now());
        callbacks_.adopted_(*keeper_.adopted());
    }
}

void RulesService::ask(const VoterId &to, std::vector<ObjectHash> wanted)
{
    RulesRequest request;
    request.id_ = ++lastRequestId_;
    request.known_ = keeper_.known().stamp_;
    request.wanted_ = std::move(wanted);
    requests_.emplace(request.id_, OpenRequest{ to, clock_.now(), !request.wanted_.empty() });
    callbacks_.sendRequest_(to, request);
}

void RulesService::dropOldRequests(TimePoint now)
{
    while (!requests_.empty() && now - requests_.begin()->second.sentAt_ >= requestLifetime) {
        requests_.erase(requests_.begin());
    }
}

void RulesService::takePublished(RulesRevision revision, PublishDone done)
{
    const TimePoint deadline = clock_.now() + acceptanceLimit;
    publications_.push_back(OpenPublication{ revision, deadline, std::move(done) });
    adopt(std::move(revision));
    settlePublications();
}

void RulesService::settlePublications()
{
    const TimePoint now = clock_.now();
    const RulesStamp known = keeper_.known().stamp_;
    std::vector<OpenPublication> open = std::exchange(publications_, {});
    for (OpenPublication &publication : open) {
        const RulesStamp written = publication.revision_.head_.stamp_;
        // A later version is only written on top of one that was accepted.
        const bool isAccepted = written.version_ < known.version_
                || (written.version_ == known.version_ && keeper_.isEstablished());
        if (isAccepted) {
            publication.done_(publication.revision_);
        } else if (now >= publication.deadline_) {
            publication.done_(failure(
                    ErrorKind::StoreTimeout,
                    toString(written)
                            + " is written, but no majority of the voters was seen to hold it yet; "
                              "ask for the status"));
        } else {
            publications_.push_back(std::move(publication));
        }
    }
}

std::map<ObjectHash, std::string> RulesService::heldObjects(
        const std::vector<ObjectHash> &wanted) const
{
    std::map<ObjectHash, std::string> objects;
    const auto adopted = keeper_.adopted();
    std::size_t bytes = 0;
    for (const ObjectHash &hash : wanted) {
        if (adopted == nullptr || bytes >= answerLimitBytes) {
            break;
        }
        const auto held = adopted->document_->objects().find(hash);
        if (held != adopted->document_->objects().end()) {
            bytes += held->second->size();
            objects.emplace(hash, *held->second);
        }
    }
    return objects;
}

RulesService::Builder &RulesService::Builder::setSelf(VoterId self)
{
    self_ = std::move(self);
    return *this;
}

RulesService::Builder &RulesService::Builder::setTable(Table &table)
{
    table_ = &table;
    return *this;
}

RulesService::Builder &RulesService::Builder::setObjects(ObjectStore &objects)
{
    objects_ = &objects;
    return *this;
}

RulesService::Builder &RulesService::Builder::setClock(const Clock &clock)
{
    clock_ = &clock;
    return *this;
}

RulesService::Builder &RulesService::Builder::setTimers(Timers &timers)
{
    timers_ = &timers;
    return *this;
}

RulesService::Builder &RulesService::Builder::setSettings(RulesSpreadSettings settings)
{
    settings_ = settings;
    return *this;
}

RulesService::Builder &RulesService::Builder::setSeed(std::uint64_t seed)
{
    seed_ = seed;
    return *this;
}

RulesService::Builder &RulesService::Builder::setCallbacks(RulesCallbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    return *this;
}

std::unique_ptr<RulesService> RulesService::Builder::build()
{
    assert(table_ != nullptr && objects_ != nullptr && clock_ != nullptr && timers_ != nullptr);
    assert(callbacks_.sendRequest_ && callbacks_.sendAnswer_ && callbacks_.adopted_);
    return std::unique_ptr<RulesService>(new RulesService(*this));
}

} // namespace qz
