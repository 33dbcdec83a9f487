// Ends connections without cutting off the answers that are still on their way.
#pragma once

#include "qz_core/loop/eventloop.h"

#include <map>
#include <memory>

struct bufferevent;

namespace qz {

/// The connections of a server that are being closed. For each one, sends what is in its output,
/// then ends the sending side and discards what still comes in, until the peer ends too or a limit
/// is over. Closing at once would reset the connection while the peer still sends, and lose the
/// answer.
///
/// A connection whose output is not sent whole, because its peer is gone or this object is
/// destroyed, ends with a reset, so that the peer does not take an answer without length for whole.
class LingeringCloses
{
public:
    /// @p limit is the time for which a peer may stay once it has been sent everything.
    LingeringCloses(EventLoop &loop, Duration limit);
    ~LingeringCloses();
    LingeringCloses(const LingeringCloses &) = delete;
    LingeringCloses &operator=(const LingeringCloses &) = delete;

    /// Takes over @p stream.
    void add(bufferevent *stream);

    /// Returns the number of connections that have not ended.
    std::size_t count() const { return connections_.size(); }

private:
    class Connection;
    void remove(Connection *connection);

    EventLoop &loop_;
    const Duration limit_;
    std::map<Connection *, std::unique_ptr<Connection>> connections_;
};

} // namespace qz
