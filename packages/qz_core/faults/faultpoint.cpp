// No faults in the shipped programs.
#include "qz_core/faults/faultpoint.h"

namespace qz {

bool isFaultInjected(FaultPoint /*point*/)
{
    return false;
}

} // namespace qz
