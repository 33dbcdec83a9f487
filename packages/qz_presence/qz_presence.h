// The package qz_presence: tracks which instances of a failure domain are live and which of them
// accept its callers, and exchanges health reports about backend servers.
#pragma once

#include "qz_presence/directory/instancedirectory.h"
#include "qz_presence/exchange/presencedriver.h"
