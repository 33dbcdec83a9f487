// Durations as libevent takes them.
#include "qz_core/loop/timevalue.h"

namespace qz {

timeval toTimeval(Duration duration)
{
    using namespace std::chrono;
    const auto whole = duration_cast<seconds>(duration);
    const auto rest = duration_cast<microseconds>(duration - whole);
    timeval value{};
    value.tv_sec = whole.count();
    value.tv_usec = rest.count();
    return value;
}

} // namespace qz
