// Package:      qz_proxy
// Purpose:      the callers' side of an instance: takes requests, sends them to gates, retries,
//               answers; and the endpoints for operators.
// Dependencies: all other packages, prometheus-cpp
#pragma once

#include "qz_proxy/dispatch/gatedispatcher.h"
#include "qz_proxy/entry/callerrequest.h"
#include "qz_proxy/entry/entryservice.h"
#include "qz_proxy/entry/gateloadreports.h"
#include "qz_proxy/observability/proxymetrics.h"
#include "qz_proxy/observability/requestjournal.h"
#include "qz_proxy/operators/operatorservice.h"
#include "qz_proxy/state/fleetstate.h"
