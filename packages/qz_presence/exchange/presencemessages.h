// What instances tell each other.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"
#include "qz_presence/directory/instancedirectory.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

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
    std::uint64_t knownCount_ = 0;  ///< Instances that the sender knows, itself among them.
    std::uint64_t knownDigest_ = 0; ///< Of their ids. @see InstanceDirectory::digest

    MSGPACK_DEFINE(sender_, isReady_, isStoreLost_, versions_, knownCount_, knownDigest_)
};

/// All instances that the sender knows, those of other failure domains too.
struct InstanceListMessage
{
    std::vector<InstanceRecord> records_;
    bool isReply_ = false; ///< To the receiver's own list, sent a moment ago.

    MSGPACK_DEFINE(records_, isReply_)
};

/// The sender's requests to a backend server fail, or are answered again.
struct HealthReportMessage
{
    BackendServerId server_;
    std::int64_t incarnation_ = 0; ///< Of the backend server.
    Duration ejectionTime_{};      ///< Zero: it has recovered.

    MSGPACK_DEFINE(server_, incarnation_, ejectionTime_)
};

} // namespace qz
