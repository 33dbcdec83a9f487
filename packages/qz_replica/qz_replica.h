// The package qz_replica: replicas of small tables that a few instances read from a store and
// distribute to the other instances of their failure domain.
#pragma once

#include "qz_replica/exchange/linkusage.h"
#include "qz_replica/exchange/replicaexchange.h"
#include "qz_replica/table/tablereplica.h"
