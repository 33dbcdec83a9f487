// What a daemon is told at its start.
#pragma once

#include "qz_core/logging/logger.h"
#include "qz_core/settings/settingsreader.h"

#include <nlohmann/json.hpp>

#include <string>

namespace qz {

struct DaemonSettings
{
    InstanceId instanceId_;
    Location location_;
    Endpoint callerAddress_; ///< Listens for callers and operators.
    Endpoint peerAddress_;   ///< Listens for other instances.
    Endpoint platformAddress_;
    std::string fleetKey_;      ///< Never logged or dumped.
    std::string operatorToken_; ///< Never logged or dumped.
    Duration platformTimeout_{};
    Duration addressKeepTime_{}; ///< How long callers keep an address.
    Duration gateDrainGrace_{};  ///< From leaving until its gates take nothing new.
    Duration drainGrace_{};      ///< From leaving until it takes no callers.
    Duration drainLimit_{};      ///< From leaving until it stops, whatever is in flight.
    Duration rulesLimit_{};      ///< Without proof of its rules for so long it refuses new work.
    std::size_t bodyLimitBytes_ = 0;
    LogLevel logLevel_ = LogLevel::Info;

    /// Reads and checks everything; the problems are in @p reader.
    static DaemonSettings read(SettingsReader &reader);

    /// Without the secrets.
    nlohmann::json toJson() const;
};

} // namespace qz
