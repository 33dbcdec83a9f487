// Package:      qz_fleet
// Purpose:      the other instances: authenticated links to them with typed messages, and
//               membership, which says who is live, leaving or gone.
// Dependencies: qz_core, qz_platform, libevent, msgpack-cxx, libcrypto, nlohmann-json
#pragma once

#include "qz_fleet/links/framedecoder.h"
#include "qz_fleet/links/handshake.h"
#include "qz_fleet/links/linklimits.h"
#include "qz_fleet/links/peerlink.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_fleet/membership/membership.h"
#include "qz_fleet/membership/membershipdriver.h"
#include "qz_fleet/messages/messagekind.h"
#include "qz_fleet/messages/packing.h"
