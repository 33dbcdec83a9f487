// What instances tell each other.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"
#include "qz_presence/directory/instancedirectory.h"

#include <cstdint>
#include <map>
#include <string>

namespace qz {

/// The version of each table that an instance has a copy of.
using TableVersions = std::map<std::string, std::uint64_t>;

/// The sender is live.
struct PresenceMessage
{
    InstanceRecord sender_;
    bool isReady_ = false;     ///< It takes callers. False as well once it stops.
    bool isStoreLost_ = false; ///< It tried to read from the store and cannot.
    TableVersions versions_;

    MSGPACK_DEFINE(sender_, isReady_, isStoreLost_, versions_)
};

/// The sender's requests to a backend server fail, or are answered again.
struct HealthNoteMessage
{
    BackendServerId server_;
    std::int64_t incarnation_ = 0; ///< Of the backend server.
    Duration hold_{};              ///< Zero: it has recovered.

    MSGPACK_DEFINE(server_, incarnation_, hold_)
};

} // namespace qz
