// Ends a connection without cutting off the answer that is still on its way.
#pragma once

#include "qz_core/loop/eventloop.h"

struct bufferevent;

namespace qz {

/// Takes over @p stream: sends what is in its output, then ends the sending side and
/// discards what still comes in, until the peer ends too or @p limit is over. Closing at
/// once would reset the connection while the peer still sends, and lose the answer.
void closeLingering(EventLoop &loop, bufferevent *stream, Duration limit);

} // namespace qz
