// The state of one member as instances exchange it, and the order in which newer states replace
// older ones.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <cstdint>
#include <string>
#include <vector>

namespace qz {

/// The result of failure detection for a member. Of two verdicts on the same version, the higher
/// one wins.
enum class MemberVerdict : std::uint8_t { Alive, Suspect, Dead };

std::string_view toString(MemberVerdict verdict);

/// The state of one member at one version. Only the member itself raises the version: to refute
/// a verdict, or after a restart to take precedence over its previous process.
/// @see MemberTable
struct MemberUpdate
{
    InstanceId id_;
    std::string incarnation_; ///< The process; empty if only the platform's list is known.
    std::uint64_t version_ = 0;
    std::uint8_t verdict_ = 0; ///< A MemberVerdict.
    bool isLeaving_ = false;   ///< Stays true within an incarnation.
    Endpoint peerEndpoint_;
    Endpoint callerEndpoint_;
    Location location_;
    /// The instances that could not reach the member at this version, at most maxReporters.
    /// Contains only the member itself if it announced its stop.
    std::vector<InstanceId> reporters_;

    MSGPACK_DEFINE(id_, incarnation_, version_, verdict_, isLeaving_, peerEndpoint_,
                   callerEndpoint_, location_, reporters_)

    MemberVerdict verdict() const { return static_cast<MemberVerdict>(verdict_); }
    void setVerdict(MemberVerdict verdict) { verdict_ = static_cast<std::uint8_t>(verdict); }
    bool isDead() const { return verdict() == MemberVerdict::Dead; }
    /// Returns true if the state originates from the member itself and not only from the
    /// platform's list.
    bool isSelfReported() const { return !incarnation_.empty(); }
    /// Returns true if the member itself announced that it stops.
    bool hasAnnouncedStop() const;
};

constexpr std::size_t maxReporters = 3;

/// Returns false if a value of a received update is out of range.
bool isValid(const MemberUpdate &update);

/// Returns true if @p a describes a later version or process than @p b.
bool isNewer(const MemberUpdate &a, const MemberUpdate &b);

/// Returns true if @p a and @p b describe the same version of the same process.
bool isSameVersion(const MemberUpdate &a, const MemberUpdate &b);

/// Merges @p update into @p current. The result does not depend on the order of updates.
/// Returns true if @p current has changed.
bool mergeUpdate(MemberUpdate &current, const MemberUpdate &update);

/// Adds @p reporter to @p update unless it is there already or there are maxReporters. Returns
/// true if it was added.
bool addReporter(MemberUpdate &update, const InstanceId &reporter);

} // namespace qz
