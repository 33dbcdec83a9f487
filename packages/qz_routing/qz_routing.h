// The package qz_routing: which service a request goes to.
#pragma once

#include "qz_routing/table/routingtable.h"
#include "qz_routing/table/trafficsplit.h"
