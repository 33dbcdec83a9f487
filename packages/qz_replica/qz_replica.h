// The package qz_replica: copies of small tables that a few instances read from a store and
// hand on to their neighbours.
#pragma once

#include "qz_replica/exchange/replicaexchange.h"
#include "qz_replica/table/tablereplica.h"
