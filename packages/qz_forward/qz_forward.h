// The package qz_forward: forwards callers' requests to backend servers and returns the responses.
#pragma once

#include "qz_forward/backends/backendtable.h"
#include "qz_forward/observability/forwardmetrics.h"
#include "qz_forward/requests/forwarder.h"
