// Settings of an instance on the platform's store.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/logging/logger.h"
#include "qz_core/settings/settingsreader.h"
#include "qz_placement/choice/placement.h"
#include "qz_placement/retries/retryallowance.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace qz {

/// Settings of `quetzaldaled serve`. Each comes from a flag or from an environment variable.
/// @see SettingsReader, ServeDaemon
struct ServeSettings
{
    InstanceId instanceId_;
    Location location_;
    std::map<std::string, std::string> regions_; ///< Maps each failure domain to its region.
    Endpoint callerAddress_;
    Endpoint readyAddress_;
    Endpoint directoryAddress_;
    Endpoint metricsAddress_;
    Endpoint peerAddress_;
    Endpoint storeAddress_;
    std::string fleetKey_;        ///< Never logged.
    double processorShare_ = 1.0; ///< Part of a processor core that this instance may use.
    double linkCapacity_ = 10.0;  ///< Of its network link, in Mbit/s.
    std::size_t instancesPerEntry_ = 16;
    RetryBudgetLimits retryBudget_;
    Duration addressKeepTime_{}; ///< How long callers may cache an answer of the directory.
    Duration stopLimit_{};       ///< From the signal to stop to the end of the process.
    LogLevel logLevel_ = LogLevel::Info;

    /// Reads and checks all settings. Invalid ones are reported by @p reader.
    static ServeSettings read(SettingsReader &reader);

    /// Returns the settings without the fleet key.
    nlohmann::json toJson() const;
};

} // namespace qz
