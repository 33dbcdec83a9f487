// The package qz_entries: decisions of an entry, which is an instance that accepts callers. Chooses
// the backend server and gate for a request, decides whether a retry may be sent, and lists the
// addresses that a caller should connect to.
#pragma once

#include "qz_entries/choice/localfirstchoice.h"
#include "qz_entries/choice/poweroftwochoice.h"
#include "qz_entries/choice/randomchoice.h"
#include "qz_entries/choice/servercandidate.h"
#include "qz_entries/choice/serverchooser.h"
#include "qz_entries/directory/entrydirectory.h"
#include "qz_entries/retries/retrybudget.h"
