// Package:      qz_entries
// Purpose:      decisions of an entry instance: the backend server and gate for a request, whether
//               a retry may be sent, and the addresses that a caller should connect to.
// Dependencies: qz_core, nlohmann-json
#pragma once

#include "qz_entries/choice/localfirstchoice.h"
#include "qz_entries/choice/poweroftwochoice.h"
#include "qz_entries/choice/randomchoice.h"
#include "qz_entries/choice/servercandidate.h"
#include "qz_entries/choice/serverchooser.h"
#include "qz_entries/directory/entrydirectory.h"
#include "qz_entries/retries/retrybudget.h"
