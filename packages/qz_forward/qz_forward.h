// The package qz_forward: requests from callers to backend servers and their answers back.
#pragma once

#include "qz_forward/backends/backendtable.h"
#include "qz_forward/observability/forwardmetrics.h"
#include "qz_forward/requests/forwarder.h"
