// Members of the fleet as other packages see them.
#pragma once

#include "qz_core/ids/ids.h"

#include <string>
#include <string_view>

namespace qz {

enum class MemberState {
    Live,    ///< Takes duties and new work.
    Leaving, ///< Finishes what it has; to be given no new duties.
};

std::string_view toString(MemberState state);

/// An instance that is live or leaving.
/// @see Membership
struct Member
{
    InstanceId id_;
    std::string incarnation_; ///< Empty until the instance itself has been heard.
    MemberState state_ = MemberState::Live;
    Endpoint peerEndpoint_;
    Endpoint callerEndpoint_;
    Location location_;
};

enum class MemberChangeKind {
    Joined,    ///< Was unknown or gone.
    Restarted, ///< Has another incarnation: what its former process held is lost.
    Updated,   ///< Its state or an address has changed, or it was heard for the first time.
    Gone,      ///< Dead, or ended by its own word, or dropped from the platform's list.
};

std::string_view toString(MemberChangeKind kind);

struct MemberChange
{
    MemberChangeKind kind_ = MemberChangeKind::Joined;
    Member member_; ///< As it is now; for Gone, as it was last.
};

} // namespace qz
