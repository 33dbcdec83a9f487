// Package:      qz_entries
// Purpose:      decisions of an entry instance: which backend server's gate a request goes to,
//               whether it may be tried again, and which addresses a caller should use.
// Dependencies: qz_core, nlohmann-json
#pragma once

#include "qz_entries/choice/localfirstchoice.h"
#include "qz_entries/choice/poweroftwochoice.h"
#include "qz_entries/choice/randomchoice.h"
#include "qz_entries/choice/servercandidate.h"
#include "qz_entries/choice/serverchooser.h"
#include "qz_entries/directory/entrydirectory.h"
#include "qz_entries/retries/retrybudget.h"
