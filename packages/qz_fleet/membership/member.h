// The members of the fleet and their changes, as other packages see them.
#pragma once

#include "qz_core/ids/ids.h"

#include <string>
#include <string_view>

namespace qz {

enum class MemberState {
    Live,    ///< Takes new work.
    Leaving, ///< Finishes the work that it has and must get nothing new.
};

std::string_view toString(MemberState state);

/// An instance that is live or leaving.
/// @see Membership
struct Member
{
    InstanceId id_;
    std::string incarnation_; ///< Identifies the process. Empty until the instance itself reports.
    MemberState state_ = MemberState::Live;
    Endpoint peerEndpoint_;
    Endpoint callerEndpoint_;
    Location location_;
};

enum class MemberChangeKind {
    Joined,    ///< Was unknown or gone before.
    Restarted, ///< Has a new incarnation; the state of its previous process is lost.
    Updated,   ///< Its state, addresses or location changed, or it reported for the first time.
    Gone,      ///< Died, announced its stop, or left the platform's list without ever reporting.
};

std::string_view toString(MemberChangeKind kind);

struct MemberChange
{
    MemberChangeKind kind_ = MemberChangeKind::Joined;
    Member member_; ///< The new state; for Gone, the last known one.
};

} // namespace qz
