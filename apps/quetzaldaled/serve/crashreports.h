// Crash histories as messages between instances, whose clocks differ.
#pragma once

#include "qz_placement/quarantine/crashhistory.h"
#include "qz_presence/exchange/presencemessages.h"

#include <vector>

namespace qz {

/// Returns the message that tells @p histories at @p now.
CrashReportMessage makeCrashReport(const std::vector<CrashHistory> &histories, TimePoint now);

/// Returns the histories that @p report tells, which arrived at @p now. Times in the future count
/// as now.
std::vector<CrashHistory> readCrashReport(const CrashReportMessage &report, TimePoint now);

} // namespace qz
