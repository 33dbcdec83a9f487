// Package:      qz_platform
// Purpose:      the platform's table, object store and instance list: interfaces that the
//               other packages stand on, and clients by HTTP and JSON.
// Dependencies: qz_core, qz_http, nlohmann-json
#pragma once

#include "qz_platform/client/platformclient.h"
#include "qz_platform/instances/instancelist.h"
#include "qz_platform/objects/objectstore.h"
#include "qz_platform/table/table.h"
