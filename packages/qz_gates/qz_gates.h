// Package:      qz_gates
// Purpose:      one gate for each backend server: its queue, its slots, its connections and
//               the exchange of requests between entries and gates.
// Dependencies: qz_core, qz_http, qz_fleet, qz_rules, qz_admission, qz_health
#pragma once

#include "qz_gates/directory/backenddirectory.h"
#include "qz_gates/directory/gatemap.h"
#include "qz_gates/gate/backendresponse.h"
#include "qz_gates/gate/gate.h"
#include "qz_gates/gate/gateset.h"
#include "qz_gates/messages/executemessages.h"
