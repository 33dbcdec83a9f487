// Package:      qz_core
// Purpose:      what every other package stands on: time, the event loop, error kinds,
//               identifiers, hashing, settings and logs.
// Dependencies: libevent, log4cplus, xxhash, libcrypto, nlohmann-json, Boost.Outcome
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/errors/errorkind.h"
#include "qz_core/faults/faultpoint.h"
#include "qz_core/hashing/hmac.h"
#include "qz_core/hashing/rendezvous.h"
#include "qz_core/hashing/requestfingerprint.h"
#include "qz_core/ids/ids.h"
#include "qz_core/ids/randomid.h"
#include "qz_core/logging/logger.h"
#include "qz_core/loop/eventloop.h"
#include "qz_core/loop/heldsignals.h"
#include "qz_core/loop/timevalue.h"
#include "qz_core/settings/settingsreader.h"
#include "qz_core/time/clock.h"
#include "qz_core/time/manualclock.h"
#include "qz_core/time/manualtimers.h"
