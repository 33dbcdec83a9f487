// What an instance on the platform is told at its start.
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

/// Settings of `quetzaldaled serve`; each is a flag and an environment variable.
/// @see SettingsReader, ServeDaemon
struct ServeSettings
{
    InstanceId instanceId_;
    Location location_;
    std::map<std::string, std::string> regions_; ///< The region of each failure domain.
    Endpoint callerAddress_;
    Endpoint readyAddress_;
    Endpoint directoryAddress_;
    Endpoint metricsAddress_;
    Endpoint peerAddress_;
    Endpoint storeAddress_;
    std::string fleetKey_;        ///< Never logged.
    double processorShare_ = 1.0; ///< Of a core that this instance may use.
    std::size_t entriesPerDomain_ = 2;
    RetryBudgetLimits retryBudget_;
    Duration addressKeepTime_{}; ///< How long callers keep an answer of the directory.
    Duration stopLimit_{};       ///< From the signal to the end of the process.
    LogLevel logLevel_ = LogLevel::Info;

    /// Reads all settings; problems are left in @p reader.
    static ServeSettings read(SettingsReader &reader);

    /// Without the key.
    nlohmann::json toJson() const;
};

} // namespace qz
