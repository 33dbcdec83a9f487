// Where another instance listens for links.
#pragma once

#include "qz_core/ids/ids.h"

namespace qz {

/// Another instance and its address. @see PeerLinks
struct Peer
{
    InstanceId id_;
    Endpoint endpoint_;
};

} // namespace qz
