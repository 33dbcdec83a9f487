// What is known about one member, as it travels between instances, and the order by which
// newer knowledge replaces older.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <cstdint>
#include <string>
#include <vector>

namespace qz {

/// What the fleet holds about a member. Of two verdicts on the same version the higher wins.
enum class MemberVerdict : std::uint8_t { Alive, Suspect, Dead };

std::string_view toString(MemberVerdict verdict);

/// The state of one member at one version. Only the member itself raises the version: to
/// refute a verdict, or after a restart to go before its former process.
/// @see MemberTable
struct MemberUpdate
{
    InstanceId id_;
    std::string incarnation_; ///< The process; empty if known from the platform's list only.
    std::uint64_t version_ = 0;
    std::uint8_t verdict_ = 0; ///< A MemberVerdict.
    bool isLeaving_ = false;   ///< Never falls back within an incarnation.
    Endpoint peerEndpoint_;
    Endpoint callerEndpoint_;
    Location location_;
    /// Who could not reach the member at this version. Names the member itself if it has
    /// ended by its own word.
    std::vector<InstanceId> reporters_;

    MSGPACK_DEFINE(id_, incarnation_, version_, verdict_, isLeaving_, peerEndpoint_,
                   callerEndpoint_, location_, reporters_)

    MemberVerdict verdict() const { return static_cast<MemberVerdict>(verdict_); }
    void setVerdict(MemberVerdict verdict) { verdict_ = static_cast<std::uint8_t>(verdict); }
    bool isDead() const { return verdict() == MemberVerdict::Dead; }
    /// True if the member itself has been heard, by whomever.
    bool isSelfReported() const { return !incarnation_.empty(); }
    bool hasAnnouncedStop() const;
};

constexpr std::size_t maxReporters = 3;

/// False if a received update has a value out of its range.
bool isValid(const MemberUpdate &update);

/// True if @p a speaks of a later version or process than @p b.
bool isNewer(const MemberUpdate &a, const MemberUpdate &b);

/// True if @p a and @p b speak of the same version of the same process.
bool isSameVersion(const MemberUpdate &a, const MemberUpdate &b);

/// Adds @p news to @p known. The result does not depend on the order in which updates
/// come. True if @p known has changed.
bool mergeUpdate(MemberUpdate &known, const MemberUpdate &news);

/// Adds @p accuser if there is room. True if it is new.
bool addReporter(MemberUpdate &update, const InstanceId &accuser);

} // namespace qz
