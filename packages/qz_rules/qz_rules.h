// Package:      qz_rules
// Purpose:      labels, selectors and the versioned rule set: its document, how a change is
//               accepted, and how it comes into force on every instance.
// Dependencies: qz_core, qz_platform, nlohmann-json, libcrypto
#pragma once

#include "qz_rules/model/fieldlocator.h"
#include "qz_rules/model/ruleset.h"
#include "qz_rules/model/selector.h"
#include "qz_rules/operators/rulesoperations.h"
#include "qz_rules/spread/ruleskeeper.h"
#include "qz_rules/spread/rulesservice.h"
#include "qz_rules/store/rulesstore.h"
