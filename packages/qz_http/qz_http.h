// Package:      qz_http
// Purpose:      HTTP/1.1 for the other packages: a client connection on evhttp and a server
//               on libevhtp, with the checks that those two leave out.
// Dependencies: qz_core, libevent, libevhtp
#pragma once

#include "qz_http/client/httpclientpool.h"
#include "qz_http/client/httpconnection.h"
#include "qz_http/messages/httpmessages.h"
#include "qz_http/messages/querystring.h"
#include "qz_http/server/httpexchange.h"
#include "qz_http/server/httpserver.h"
