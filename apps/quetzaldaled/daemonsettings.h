// Settings of an instance with its own rules and list of backend servers.
#pragma once

#include "qz_core/logging/logger.h"
#include "qz_core/settings/settingsreader.h"

#include <nlohmann/json.hpp>

#include <string>

namespace qz {

/// Settings of `quetzaldaled`. Each comes from a flag or from an environment variable; the two
/// secrets come from the environment only.
/// @see SettingsReader, Daemon
struct DaemonSettings
{
    InstanceId instanceId_;
    Location location_;
    Endpoint callerAddress_;     ///< Listens for callers and operators.
    Endpoint peerAddress_;       ///< Listens for other instances.
    Endpoint platformAddress_;   ///< The platform's table, object store and instance list.
    std::string fleetKey_;       ///< Shared by all instances. Never logged or dumped.
    std::string operatorToken_;  ///< Never logged or dumped.
    Duration platformTimeout_{}; ///< Of each call to the platform.
    Duration addressKeepTime_{}; ///< How long callers may cache an address.
    Duration gateDrainGrace_{};  ///< From leaving until its gates accept nothing new.
    Duration drainGrace_{};      ///< From leaving until it accepts no callers.
    Duration drainLimit_{};      ///< From leaving until it stops even with requests in flight.
    /// The instance refuses new work if it cannot confirm its rules for this time.
    Duration rulesLimit_{};
    std::size_t bodyLimitBytes_ = 0;
    LogLevel logLevel_ = LogLevel::Info;

    /// Reads and checks all settings. Invalid ones are reported by @p reader.
    static DaemonSettings read(SettingsReader &reader);

    /// Returns the settings without the secrets.
    nlohmann::json toJson() const;
};

} // namespace qz
