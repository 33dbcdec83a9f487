// The package qz_placement: chooses the backend server for a request, tracks the health of servers
// and limits requests and retries. Decisions only: time is passed as an argument, and nothing here
// does I/O.
#pragma once

#include "qz_placement/choice/placement.h"
#include "qz_placement/choice/serverroles.h"
#include "qz_placement/health/failureratetracker.h"
#include "qz_placement/health/routelatency.h"
#include "qz_placement/health/serverhealth.h"
#include "qz_placement/health/servicepath.h"
#include "qz_placement/limits/serverratelimit.h"
#include "qz_placement/quarantine/crashquarantine.h"
#include "qz_placement/retries/hedging.h"
#include "qz_placement/retries/retryallowance.h"
