// Tests of requests and responses on a connection to a backend server.
#include "qz_http/stream/backendconnection.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

/// Sends a request when connected. Pauses reading with the first part of each body, as back
/// pressure from a slow caller does.
class PausingListener : public qz::BackendConnectionListener
{
public:
    explicit PausingListener(qz::BackendConnection &connection)
        : connection_(connection)
    {
    }

    void send()
    {
        qz::HttpHead head;
        head.method_ = "GET";
        head.target_ = "/";
        connection_.sendHead(head);
        connection_.endRequest();
    }

    void takeConnected() override { send(); }
    void takeAnswerHead(qz::HttpHead /*head*/) override { }
    void takeAnswerBody(std::string_view /*data*/) override { connection_.setReading(false); }
    void takeAnswerEnd() override { ++responses_; }
    void takeFailure(const qz::Error & /*error*/) override { hasFailed_ = true; }
    void takeSendDrained() override { }

    qz::BackendConnection &connection_;
    int responses_ = 0;
    bool hasFailed_ = false;
};

} // namespace

// Guards against requests that are run and answered on a kept connection that is no longer read.
BOOST_AUTO_TEST_CASE(connectionIsReadAgainOnceItsResponseHasEnded)
{
    qz::EventLoop loop;
    RawServer server(loop, [](bufferevent *stream, int /*reads*/) {
        write(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    qz::BackendConnection connection(loop, server.endpoint(), 2s);
    PausingListener listener(connection);
    connection.setListener(&listener);
    loop.runFor(50ms);
    BOOST_TEST(listener.responses_ == 1);
    BOOST_TEST(connection.isReusable());
    listener.send();
    loop.runFor(50ms);
    BOOST_TEST(server.readCount() == 2);
    BOOST_TEST(listener.responses_ == 2);
}

// Guards against idle connections whose end is not noticed before the next request.
BOOST_AUTO_TEST_CASE(endOfAnIdleConnectionIsNoticedAfterPausedReading)
{
    qz::EventLoop loop;
    bufferevent *peer = nullptr;
    RawServer server(loop, [&peer](bufferevent *stream, int /*reads*/) {
        peer = stream;
        write(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    qz::BackendConnection connection(loop, server.endpoint(), 2s);
    PausingListener listener(connection);
    connection.setListener(&listener);
    loop.runFor(50ms);
    BOOST_TEST(connection.isReusable());
    bufferevent_free(peer);
    loop.runFor(50ms);
    BOOST_TEST(!connection.isReusable());
}
