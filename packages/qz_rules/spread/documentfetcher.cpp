// The order of sources for a document.
#include "qz_rules/spread/documentfetcher.h"

#include <algorithm>

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr Duration stepTimeout = 2s;
constexpr Duration failurePause = 500ms;
constexpr Duration storeWait = 2s;
constexpr std::size_t wantedLimit = 64; ///< Objects in one request.

} // namespace

void DocumentFetcher::setTarget(const ObjectHash &hash, const RulesObjects &known, TimePoint now)
{
    if (assembler_ != nullptr && assembler_->hash() == hash) {
        return;
    }
    RulesObjects atHand = known;
    if (assembler_ != nullptr) {
        const RulesObjects &partial = assembler_->objects();
        atHand.insert(partial.begin(), partial.end());
    }
    assembler_ = std::make_unique<RulesAssembler>(hash, atHand);
    startedAt_ = now;
    openSince_.reset();
    failedAt_.reset();
    peerFailed_ = false;
}

DocumentFetcher::Step DocumentFetcher::next(const std::optional<VoterId> &holder, bool goesToStore,
                                            TimePoint now)
{
    if (assembler_ == nullptr || isComplete()) {
        return {};
    }
    if (openSince_ && now - *openSince_ >= stepTimeout) {
        openSince_.reset();
        peerFailed_ = true;
    }
    const bool pauses = failedAt_ && now - *failedAt_ < failurePause;
    if (openSince_ || pauses) {
        return {};
    }
    const auto &missing = assembler_->missing();
    if (holder && !peerFailed_) {
        openSince_ = now;
        const auto count = static_cast<std::ptrdiff_t>(std::min(wantedLimit, missing.size()));
        return AskPeer{ *holder, { missing.begin(), std::next(missing.begin(), count) } };
    }
    if (goesToStore || peerFailed_ || now - startedAt_ >= storeWait) {
        openSince_ = now;
        peerFailed_ = false;
        return ReadStore{ *missing.begin() };
    }
    return {};
}

void DocumentFetcher::takeObjects(const std::map<ObjectHash, std::string> &objects)
{
    if (assembler_ == nullptr) {
        return;
    }
    bool isUseful = false;
    for (const auto &[hash, content] : objects) {
        const bool isMissing = assembler_->missing().count(hash) > 0;
        isUseful = (assembler_->add(hash, content).has_value() && isMissing) || isUseful;
    }
    openSince_.reset();
    peerFailed_ = !isUseful;
}

void DocumentFetcher::takeStoreObject(const ObjectHash &hash, const Result<std::string> &object,
                                      TimePoint now)
{
    if (assembler_ == nullptr || assembler_->missing().count(hash) == 0) {
        return;
    }
    openSince_.reset();
    if (!object || !assembler_->add(hash, object.value())) {
        failedAt_ = now;
    }
}

std::shared_ptr<const RulesDocument> DocumentFetcher::finish()
{
    auto document = assembler_->finish();
    assembler_.reset();
    return document;
}

} // namespace qz
