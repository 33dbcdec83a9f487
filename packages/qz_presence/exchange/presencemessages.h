// Messages about instances and backend servers that instances exchange.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"
#include "qz_presence/directory/instancedirectory.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace qz {

/// Versions of the last changes in the tables that an instance has copies of, by table name.
using TableVersions = std::map<std::string, std::uint64_t>;

/// Periodic message that the sender is live, with its current state.
struct PresenceMessage
{
    InstanceRecord sender_;
    bool isReady_ = false;     ///< The sender accepts callers; false also while it stops.
    bool isStoreLost_ = false; ///< The sender tried to read from the store and failed.
    TableVersions versions_;
    std::uint64_t knownCount_ = 0;  ///< Number of instances known to the sender, including itself.
    std::uint64_t knownDigest_ = 0; ///< Digest of their ids. @see InstanceDirectory::digest

    MSGPACK_DEFINE(sender_, isReady_, isStoreLost_, versions_, knownCount_, knownDigest_)
};

/// All instances known to the sender, including those of other failure domains.
struct InstanceListMessage
{
    std::vector<InstanceRecord> records_;
    bool isReply_ = false; ///< The message replies to the receiver's own list.

    MSGPACK_DEFINE(records_, isReply_)
};

/// Reports that the sender's requests to a backend server fail, or that the server has recovered.
struct HealthReportMessage
{
    BackendServerId server_;
    std::int64_t incarnation_ = 0; ///< Incarnation of the backend server.
    Duration ejectionTime_{};      ///< Time for which the sender ejects the server; zero after a
                                   ///< recovery.

    MSGPACK_DEFINE(server_, incarnation_, ejectionTime_)
};

/// Passes on what a backend server says of itself in its responses: its limit, or that it no longer
/// names one, and that it leaves.
struct ServerStatementMessage
{
    BackendServerId server_;
    std::int64_t incarnation_ = 0; ///< Incarnation of the backend server.
    bool isLimited_ = false;
    double requestsPerSecond_ = 0.0; ///< From all instances together; unused without a limit.

    /// The server leaves. False says nothing: a leaving server stays one. Instances of an earlier
    /// version neither send nor read this member, which therefore comes last.
    bool isLeaving_ = false;

    MSGPACK_DEFINE(server_, incarnation_, isLimited_, requestsPerSecond_, isLeaving_)
};

/// The end of a backend server while it had a request. Times are told by their age.
struct CrashMessage
{
    BackendServerId server_;
    std::int64_t incarnation_ = 0; ///< Incarnation of the backend server.
    Duration sinceSent_{};
    Duration sinceEnd_{};

    MSGPACK_DEFINE(server_, incarnation_, sinceSent_, sinceEnd_)
};

/// What the sender knows of one request under which backend servers have ended.
struct CrashHistoryMessage
{
    std::uint64_t requestHigh_ = 0; ///< With requestLow_: fingerprint of the request.
    std::uint64_t requestLow_ = 0;
    std::uint64_t longRequestHead_ = 0;
    std::vector<CrashMessage> crashes_;
    bool isAnswered_ = false;
    Duration sinceAnswer_{}; ///< Unused without an answer.

    MSGPACK_DEFINE(requestHigh_, requestLow_, longRequestHead_, crashes_, isAnswered_, sinceAnswer_)
};

/// Reports requests that crash backend servers, or that were answered after all.
struct CrashReportMessage
{
    std::vector<CrashHistoryMessage> histories_;

    MSGPACK_DEFINE(histories_)
};

} // namespace qz
