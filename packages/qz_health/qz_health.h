// Package:      qz_health
// Purpose:      detects unhealthy backend servers by comparing them within their service,
//               lowers their weight, ejects them within the floor and re-admits them.
// Dependencies: qz_core, qz_platform, msgpack-cxx, nlohmann-json
#pragma once

#include "qz_health/detection/outlierdetector.h"
#include "qz_health/detection/verdict.h"
#include "qz_health/ejection/ejectiondecider.h"
#include "qz_health/ejection/ejectiondriver.h"
#include "qz_health/ejection/ejectionrow.h"
#include "qz_health/ejection/gateejections.h"
#include "qz_health/ejection/holddown.h"
#include "qz_health/evidence/evidencedigest.h"
#include "qz_health/evidence/observation.h"
#include "qz_health/evidence/probescheduler.h"
#include "qz_health/evidence/serverevidence.h"
#include "qz_health/evidence/servicebaseline.h"
#include "qz_health/weights/weightcontroller.h"
