// A sliding window of requests' ends.
#include "qz_placement/health/servedshare.h"

namespace qz {

namespace {

constexpr Duration window = std::chrono::seconds(3);
constexpr std::size_t enoughEnds = 12;

} // namespace

void ServedShare::record(bool isServed, TimePoint now)
{
    forget(now);
    ends_.push_back({ now, isServed });
    unservedCount_ += isServed ? 0 : 1;
}

double ServedShare::unserved(TimePoint now)
{
    forget(now);
    return ends_.size() < enoughEnds
            ? 0.0
            : static_cast<double>(unservedCount_) / static_cast<double>(ends_.size());
}

void ServedShare::forget(TimePoint now)
{
    while (!ends_.empty() && now - ends_.front().at_ > window) {
        unservedCount_ -= ends_.front().isServed_ ? 0 : 1;
        ends_.pop_front();
    }
}

} // namespace qz
