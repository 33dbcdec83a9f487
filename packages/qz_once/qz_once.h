// Package:      qz_once
// Purpose:      at-most-once execution of non-repeatable requests: claims idempotency keys in
//               the platform's table.
// Dependencies: qz_core, qz_platform, msgpack-cxx, nlohmann-json
#pragma once

#include "qz_once/batching/claimbatcher.h"
#include "qz_once/batching/rowwrite.h"
#include "qz_once/claims/claimclient.h"
#include "qz_once/claims/claimgrant.h"
#include "qz_once/claims/claimlimits.h"
#include "qz_once/claims/claimrow.h"
