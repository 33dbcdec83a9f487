// The lingering close of a connection.
#include "qz_http/server/lingeringclose.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

namespace qz {

namespace {

/// Owns itself until the connection has ended.
class LingeringClose
{
public:
    LingeringClose(EventLoop &loop, bufferevent *stream, Duration limit)
        : stream_(stream)
        , timeout_(loop.callAfter(limit, [this] { delete this; }))
    {
        bufferevent_setcb(stream_, &LingeringClose::onRead, &LingeringClose::onWritten,
                          &LingeringClose::onEvent, this);
        bufferevent_set_timeouts(stream_, nullptr, nullptr);
        bufferevent_enable(stream_, EV_READ | EV_WRITE);
        discardInput();
        if (evbuffer_get_length(bufferevent_get_output(stream_)) == 0) {
            onWritten(stream_, this);
        }
    }

private:
    ~LingeringClose() { bufferevent_free(stream_); }

    static void onRead(bufferevent * /*stream*/, void *self)
    {
        static_cast<LingeringClose *>(self)->discardInput();
    }

    static void onWritten(bufferevent *stream, void * /*self*/)
    {
        shutdown(bufferevent_getfd(stream), SHUT_WR);
    }

    static void onEvent(bufferevent * /*stream*/, short events, void *self)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            delete static_cast<LingeringClose *>(self);
        }
    }

    void discardInput()
    {
        evbuffer *input = bufferevent_get_input(stream_);
        evbuffer_drain(input, evbuffer_get_length(input));
    }

    bufferevent *stream_;
    Timers::HandlePtr timeout_;
};

} // namespace

void closeLingering(EventLoop &loop, bufferevent *stream, Duration limit)
{
    new LingeringClose(loop, stream, limit);
}

} // namespace qz
