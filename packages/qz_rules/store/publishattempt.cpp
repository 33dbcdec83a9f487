// The steps of publishing.
#include "qz_rules/store/publishattempt.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr int tries = 8; ///< Failed calls that one attempt survives.
constexpr Duration retryPause = 250ms;
constexpr std::size_t openPutsLimit = 8;

} // namespace

void PublishAttempt::start(PublishStores stores, Publication publication,
                           RulesStore::PublishDone done)
{
    const std::shared_ptr<PublishAttempt> attempt(
            new PublishAttempt(stores, std::move(publication), std::move(done)));
    // Calls back later, as the table's calls do, also where the document is bad.
    attempt->retry(&PublishAttempt::readBase);
}

PublishAttempt::PublishAttempt(PublishStores stores, Publication publication,
                               RulesStore::PublishDone done)
    : stores_(stores)
    , publication_(std::move(publication))
    , done_(std::move(done))
    , triesLeft_(tries)
{
}

bool PublishAttempt::validate()
{
    auto rules = RuleSet::parse(publication_.document_);
    if (!rules) {
        fail(rules.error().kind_, rules.error().message_);
        return false;
    }
    revision_.rules_ = std::move(rules.value());
    revision_.document_ = RulesDocument::split(nlohmann::json::parse(publication_.document_));
    return true;
}

void PublishAttempt::readBase()
{
    if (revision_.rules_ == nullptr && !validate()) {
        return;
    }
    stores_.table_.read(RulesStore::headKey, [self = shared_from_this()](const auto &row) {
        if (row) {
            self->takeBase(row.value());
        } else {
            self->takeUndecided(row.error(), &PublishAttempt::readBase);
        }
    });
}

void PublishAttempt::takeBase(const std::optional<TableRow> &row)
{
    const Result<RulesHead> base = row ? decodeHead(row->value_) : Result<RulesHead>(RulesHead{});
    if (!base) {
        fail(ErrorKind::StoreUnavailable, "not published: " + base.error().message_);
        return;
    }
    const RulesHead &head = base.value();
    revision_.head_ = RulesHead{ RulesStamp{ publication_.expected_ + 1, 0 },
                                 revision_.document_->hash(),
                                 publication_.author_,
                                 publication_.attemptToken_,
                                 publication_.voters_,
                                 head.voters_ };
    if (head.stamp_.version_ > publication_.expected_) {
        readHistory(head.stamp_.version_); // This attempt may have been made before.
        return;
    }
    if (head.stamp_.version_ < publication_.expected_) {
        failConflict(head.stamp_.version_);
        return;
    }
    if (head.stamp_ != publication_.base_) {
        failRenewed(head.stamp_);
        return;
    }
    headRow_ = row ? row->version_ : 0;
    putObjects();
}

void PublishAttempt::putObjects()
{
    for (const auto &object : revision_.document_->objects()) {
        if (publication_.stored_.count(object.first) == 0) {
            unstored_.push_back(object.first);
        }
    }
    if (unstored_.empty()) {
        commit();
        return;
    }
    const std::size_t starts = std::min(openPutsLimit, unstored_.size());
    for (std::size_t i = 0; i < starts; ++i) {
        putNext();
    }
}

void PublishAttempt::putNext()
{
    if (unstored_.empty() || !done_) {
        return;
    }
    const ObjectHash hash = unstored_.back();
    unstored_.pop_back();
    ++openPuts_;
    stores_.objects_.put(RulesStore::objectName(hash), *revision_.document_->objects().at(hash),
                         [self = shared_from_this(), hash](const Result<void> &result) {
                             self->takePut(hash, result);
                         });
}

void PublishAttempt::takePut(const ObjectHash &hash, const Result<void> &result)
{
    --openPuts_;
    if (!done_) {
        return;
    }
    if (!result) {
        unstored_.push_back(hash);
        takeUndecided(result.error(), &PublishAttempt::putNext);
        return;
    }
    if (unstored_.empty() && openPuts_ == 0) {
        commit();
        return;
    }
    putNext();
}

void PublishAttempt::commit()
{
    timer_.reset(); // Of a put that another one has made up for.
    const std::string row = encodeHead(revision_.head_);
    stores_.table_.commit(
            { TableWrite{ RulesStore::headKey, headRow_, row },
              TableWrite{ RulesStore::historyKey(revision_.head_.stamp_.version_), 0, row } },
            [self = shared_from_this()](const Result<CommitDecision> &decision) {
                self->takeCommit(decision);
            });
}

void PublishAttempt::takeCommit(const Result<CommitDecision> &decision)
{
    if (decision && decision.value().isApplied()) {
        succeed();
        return;
    }
    if (decision) {
        readBack(); // An earlier copy, or another author, was first.
        return;
    }
    if (decision.error().kind_ == ErrorKind::StoreUnavailable) {
        takeUndecided(decision.error(), &PublishAttempt::commit);
        return;
    }
    isUncertain_ = true;
    takeUndecided(decision.error(), &PublishAttempt::readBack);
}

void PublishAttempt::readBack()
{
    stores_.table_.read(RulesStore::headKey, [self = shared_from_this()](const auto &row) {
        if (row) {
            self->takeHeadRow(row.value());
        } else {
            self->takeUndecided(row.error(), &PublishAttempt::readBack);
        }
    });
}

void PublishAttempt::takeHeadRow(const std::optional<TableRow> &row)
{
    if ((row ? row->version_ : 0) == headRow_) {
        takeUndecided(Error{ ErrorKind::StoreTimeout, "no answer" }, &PublishAttempt::commit);
        return;
    }
    const Result<RulesHead> head = row ? decodeHead(row->value_) : Result<RulesHead>(RulesHead{});
    if (!head) {
        takeUndecided(head.error(), &PublishAttempt::readBack);
        return;
    }
    const RulesStamp current = head.value().stamp_;
    if (isOwn(head.value())) {
        revision_.head_ = head.value();
        succeed();
    } else if (current.version_ < revision_.head_.stamp_.version_) {
        failRenewed(current);
    } else {
        readHistory(current.version_);
    }
}

void PublishAttempt::readHistory(RulesVersion current)
{
    const std::string key = RulesStore::historyKey(revision_.head_.stamp_.version_);
    stores_.table_.read(key, [self = shared_from_this(), current](const auto &row) {
        if (!row) {
            self->takeUndecided(row.error(), &PublishAttempt::readBack);
            return;
        }
        const Result<RulesHead> head = row.value()
                ? decodeHead(row.value()->value_)
                : Result<RulesHead>(failure(ErrorKind::NotFound, "no history row"));
        if (!head) {
            self->takeUndecided(head.error(), &PublishAttempt::readBack);
        } else if (self->isOwn(head.value())) {
            self->revision_.head_ = head.value();
            self->succeed();
        } else {
            self->failConflict(current);
        }
    });
}

void PublishAttempt::takeUndecided(const Error &error, void (PublishAttempt::*next)())
{
    if (--triesLeft_ > 0) {
        retry(next);
    } else if (isUncertain_) {
        fail(ErrorKind::StoreTimeout,
             "version " + std::to_string(revision_.head_.stamp_.version_)
                     + " may be published or may yet be; ask for the status (" + error.message_
                     + ")");
    } else {
        fail(ErrorKind::StoreUnavailable, "not published: " + error.message_);
    }
}

void PublishAttempt::retry(void (PublishAttempt::*next)())
{
    if (timer_ != nullptr) {
        return; // Puts run side by side and share one pause.
    }
    const Duration pause = triesLeft_ == tries ? Duration::zero() : retryPause;
    timer_ = stores_.timers_.callAfter(pause, [self = shared_from_this(), next]() mutable {
        const auto attempt = std::move(self); // Dropping the timer drops this function.
        const auto step = next;
        attempt->timer_.reset();
        ((*attempt).*step)();
    });
}

void PublishAttempt::fail(ErrorKind kind, std::string message)
{
    if (const auto done = std::exchange(done_, nullptr)) {
        done(failure(kind, std::move(message)));
    }
}

void PublishAttempt::failConflict(RulesVersion current)
{
    fail(ErrorKind::RulesConflict,
         "version " + std::to_string(publication_.expected_)
                 + " is not the newest; look at version " + std::to_string(current));
}

void PublishAttempt::failRenewed(const RulesStamp &current)
{
    fail(ErrorKind::StoreUnavailable,
         "not published: the head has just been renewed (" + toString(current) + "); try again");
}

bool PublishAttempt::isOwn(const RulesHead &head) const
{
    return head.attemptToken_ == publication_.attemptToken_
            && head.hash_ == revision_.document_->hash();
}

void PublishAttempt::succeed()
{
    if (const auto done = std::exchange(done_, nullptr)) {
        done(revision_);
    }
}

} // namespace qz
