// Validation and merging of member updates.
#include "qz_fleet/membership/memberupdate.h"

#include <algorithm>
#include <tuple>

namespace qz {

namespace {

constexpr std::size_t maxIdBytes = 256;

bool isWithinLimits(const Endpoint &endpoint)
{
    return endpoint.host_.size() <= maxIdBytes;
}

bool isWithinLimits(const Location &location)
{
    return location.region_.value().size() <= maxIdBytes
            && location.failureDomain_.value().size() <= maxIdBytes;
}

/// Merges an update of the same version of the same process.
bool mergeSameVersion(MemberUpdate &current, const MemberUpdate &update)
{
    bool hasChanged = false;
    if (update.isLeaving_ && !current.isLeaving_) {
        current.isLeaving_ = true;
        hasChanged = true;
    }
    if (update.verdict_ > current.verdict_) {
        current.verdict_ = update.verdict_;
        current.reporters_ = update.reporters_;
        return true;
    }
    if (update.verdict_ == current.verdict_) {
        for (const InstanceId &reporter : update.reporters_) {
            hasChanged = addReporter(current, reporter) || hasChanged;
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
            && isWithinLimits(update.peerEndpoint_) && isWithinLimits(update.callerEndpoint_)
            && isWithinLimits(update.location_) && update.reporters_.size() <= maxReporters
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

bool mergeUpdate(MemberUpdate &current, const MemberUpdate &update)
{
    if (isSameVersion(current, update)) {
        return mergeSameVersion(current, update);
    }
    if (!isNewer(update, current)) {
        return false;
    }
    const bool wasLeaving = current.isLeaving_ && current.incarnation_ == update.incarnation_;
    current = update;
    current.isLeaving_ = current.isLeaving_ || wasLeaving;
    return true;
}

bool addReporter(MemberUpdate &update, const InstanceId &reporter)
{
    const auto &reporters = update.reporters_;
    const bool isKnown = std::find(reporters.begin(), reporters.end(), reporter) != reporters.end();
    if (isKnown || reporters.size() >= maxReporters) {
        return false;
    }
    update.reporters_.push_back(reporter);
    return true;
}

} // namespace qz
