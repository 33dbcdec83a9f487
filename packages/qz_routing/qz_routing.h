// The package qz_routing: finds the service that a request is sent to.
#pragma once

#include "qz_routing/table/routingtable.h"
#include "qz_routing/table/trafficsplit.h"
