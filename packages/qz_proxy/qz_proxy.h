// Package:      qz_proxy
// Purpose:      the part of an instance that serves callers: sends their requests to gates,
//               retries and responds; also the endpoints for operators.
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
