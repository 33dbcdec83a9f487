// Package:      qz_admission
// Purpose:      the queue of one gate. It decides which request gets the next slot of the backend
//               server, which requests wait and which are refused early.
// Dependencies: qz_core, nlohmann-json
#pragma once

#include "qz_admission/estimates/servicetimes.h"
#include "qz_admission/estimates/waitcorrection.h"
#include "qz_admission/policies/admissionpolicy.h"
#include "qz_admission/policies/fifopolicy.h"
#include "qz_admission/policies/sharedrankspolicy.h"
#include "qz_admission/policies/strictprioritypolicy.h"
#include "qz_admission/queue/admissionqueue.h"
#include "qz_admission/queue/admissionrequest.h"
#include "qz_admission/queue/overloaddetector.h"
