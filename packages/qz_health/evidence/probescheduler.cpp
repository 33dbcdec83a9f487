#include "qz_health/evidence/probescheduler.h"

#include <algorithm>

namespace qz {

bool ProbeScheduler::shouldProbe(const Verdict &verdict, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    const std::chrono::duration<double> period = refillPeriod;
    tokens_ = std::min(burst, tokens_ + elapsed / period);
    refilledAt_ = now;
    if (!verdict.isSuspect() || isProbing_ || now < nextProbe_ || tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    nextProbe_ = now + spacing;
    isProbing_ = true;
    return true;
}

} // namespace qz
