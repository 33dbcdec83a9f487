// The order of member updates.
#include "qz_fleet/membership/memberupdate.h"

#include <algorithm>
#include <tuple>

namespace qz {

namespace {

constexpr std::size_t maxIdBytes = 256;

bool isBounded(const Endpoint &endpoint)
{
    return endpoint.host_.size() <= maxIdBytes;
}

bool isBounded(const Location &location)
{
    return location.region_.value().size() <= maxIdBytes
            && location.failureDomain_.value().size() <= maxIdBytes;
}

/// Both speak of the same version of the same process.
bool mergeSameVersion(MemberUpdate &known, const MemberUpdate &news)
{
    bool hasChanged = false;
    if (news.isLeaving_ && !known.isLeaving_) {
        known.isLeaving_ = true;
        hasChanged = true;
    }
    if (news.verdict_ > known.verdict_) {
        known.verdict_ = news.verdict_;
        known.reporters_ = news.reporters_;
        return true;
    }
    if (news.verdict_ == known.verdict_) {
        for (const InstanceId &accuser : news.reporters_) {
            hasChanged = addReporter(known, accuser) || hasChanged;
        }
    }
    return hasChanged;
}

} // namespace

std::string_view toString(MemberVerdict verdict)
{
    switch (verdict) {
    case MemberVerdict::Alive:
        return "alive";
    case MemberVerdict::Suspect:
        return "suspect";
    case MemberVerdict::Dead:
        break;
    }
    return "dead";
}

bool MemberUpdate::hasAnnouncedStop() const
{
    return isDead() && reporters_.size() == 1 && reporters_.front() == id_;
}

bool isValid(const MemberUpdate &update)
{
    const auto isLong = [](const InstanceId &id) { return id.value().size() > maxIdBytes; };
    return !update.id_.isEmpty() && !isLong(update.id_) && update.incarnation_.size() <= maxIdBytes
            && update.verdict_ <= static_cast<std::uint8_t>(MemberVerdict::Dead)
            && isBounded(update.peerEndpoint_) && isBounded(update.callerEndpoint_)
            && isBounded(update.location_) && update.reporters_.size() <= maxReporters
            && std::none_of(update.reporters_.begin(), update.reporters_.end(), isLong);
}

bool isNewer(const MemberUpdate &a, const MemberUpdate &b)
{
    return std::tie(a.version_, a.incarnation_) > std::tie(b.version_, b.incarnation_);
}

bool isSameVersion(const MemberUpdate &a, const MemberUpdate &b)
{
    return std::tie(a.version_, a.incarnation_) == std::tie(b.version_, b.incarnation_);
}

bool mergeUpdate(MemberUpdate &known, const MemberUpdate &news)
{
    if (isSameVersion(known, news)) {
        return mergeSameVersion(known, news);
    }
    if (!isNewer(news, known)) {
        return false;
    }
    const bool wasLeaving = known.isLeaving_ && known.incarnation_ == news.incarnation_;
    known = news;
    known.isLeaving_ = known.isLeaving_ || wasLeaving;
    return true;
}

bool addReporter(MemberUpdate &update, const InstanceId &accuser)
{
    const auto &accusers = update.reporters_;
    const bool isKnown = std::find(accusers.begin(), accusers.end(), accuser) != accusers.end();
    if (isKnown || accusers.size() >= maxReporters) {
        return false;
    }
    update.reporters_.push_back(accuser);
    return true;
}

} // namespace qz
