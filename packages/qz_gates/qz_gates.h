// Package:      qz_gates
// Purpose:      one gate per backend server, with its queue, slots and connections, and the
//               messages by which entries and gates exchange requests.
// Dependencies: qz_core, qz_http, qz_platform, qz_fleet, qz_rules, qz_admission, qz_health
#pragma once

#include "qz_gates/directory/backenddirectory.h"
#include "qz_gates/directory/gatemap.h"
#include "qz_gates/gate/backendresponse.h"
#include "qz_gates/gate/gate.h"
#include "qz_gates/gate/gateset.h"
#include "qz_gates/messages/executemessages.h"
