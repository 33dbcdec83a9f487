// The package qz_presence: which instances of a failure domain are live, which of them take
// its callers, and what they tell each other of backend servers.
#pragma once

#include "qz_presence/directory/instancedirectory.h"
#include "qz_presence/exchange/presencedriver.h"
