// Connections that are being closed.
#include "qz_http/server/lingeringcloses.h"

#include "qz_http/stream/socketoptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

namespace qz {

class LingeringCloses::Connection
{
public:
    Connection(LingeringCloses &owner, bufferevent *stream)
        : owner_(owner)
        , stream_(stream)
    {
        setResetOnClose(bufferevent_getfd(stream_), true);
        bufferevent_setcb(stream_, &Connection::onRead, &Connection::onWritten,
                          &Connection::onEvent, this);
        bufferevent_set_timeouts(stream_, nullptr, nullptr);
        bufferevent_enable(stream_, EV_READ | EV_WRITE);
        discardInput();
        if (evbuffer_get_length(bufferevent_get_output(stream_)) == 0) {
            endSending();
        }
    }
    ~Connection() { bufferevent_free(stream_); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

private:
    static void onRead(bufferevent * /*stream*/, void *self)
    {
        static_cast<Connection *>(self)->discardInput();
    }

    static void onWritten(bufferevent * /*stream*/, void *self)
    {
        static_cast<Connection *>(self)->endSending();
    }

    static void onEvent(bufferevent * /*stream*/, short events, void *self)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            auto *connection = static_cast<Connection *>(self);
            connection->owner_.remove(connection);
        }
    }

    void discardInput()
    {
        evbuffer *input = bufferevent_get_input(stream_);
        evbuffer_drain(input, evbuffer_get_length(input));
    }

    void endSending()
    {
        setResetOnClose(bufferevent_getfd(stream_), false);
        shutdown(bufferevent_getfd(stream_), SHUT_WR);
        timeout_ = owner_.loop_.callAfter(owner_.limit_, [this] { owner_.remove(this); });
    }

    LingeringCloses &owner_;
    bufferevent *stream_;
    Timers::HandlePtr timeout_; ///< Set once everything has been sent.
};

LingeringCloses::LingeringCloses(EventLoop &loop, Duration limit)
    : loop_(loop)
    , limit_(limit)
{
}

LingeringCloses::~LingeringCloses() = default;

void LingeringCloses::add(bufferevent *stream)
{
    auto connection = std::make_unique<Connection>(*this, stream);
    connections_.emplace(connection.get(), std::move(connection));
}

void LingeringCloses::remove(Connection *connection)
{
    connections_.erase(connection);
}

} // namespace qz
