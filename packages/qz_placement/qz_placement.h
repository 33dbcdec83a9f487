// The package qz_placement: where a request is placed, when it is tried again and when it is
// refused. Decisions only: time comes in as an argument, and nothing here does I/O.
#pragma once

#include "qz_placement/choice/placement.h"
#include "qz_placement/choice/serverroles.h"
#include "qz_placement/health/failureratetracker.h"
#include "qz_placement/health/serverhealth.h"
#include "qz_placement/health/servicelatency.h"
#include "qz_placement/retries/retryallowance.h"
