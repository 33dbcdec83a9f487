// Tests of the pool of client connections.
#include "qz_http/client/httpclientpool.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

constexpr const char *answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

qz::HttpClientLimits makeLimits()
{
    qz::HttpClientLimits limits;
    limits.connections_ = 2;
    return limits;
}

} // namespace

BOOST_AUTO_TEST_CASE(requestsBeyondTheLimitWaitAndReuseConnections)
{
    qz::EventLoop loop;
    RawServer server(loop, [](bufferevent *stream, int /*reads*/) { write(stream, answer); });
    qz::HttpClientPool pool(loop, server.endpoint(), makeLimits());
    int answered = 0;
    for (int i = 0; i < 10; ++i) {
        pool.send({}, qz::RequestId(std::to_string(i)), 2s, [&](auto result) {
            answered += result.has_value() ? 1 : 0;
            if (answered == 10) {
                loop.stop();
            }
        });
    }
    loop.runFor(3s);
    BOOST_TEST(answered == 10);
    BOOST_TEST(server.connectionCount() == 2);
}

BOOST_AUTO_TEST_CASE(aCancelledRequestFreesItsPlaceAndItsConnectionIsNotReused)
{
    qz::EventLoop loop;
    RawServer server(loop, [](bufferevent *stream, int reads) {
        if (reads > 2) {
            write(stream, answer);
        }
    });
    qz::HttpClientPool pool(loop, server.endpoint(), makeLimits());
    bool wasCalled = false;
    const auto first = pool.send({}, qz::RequestId("1"), 2s, [&](auto) { wasCalled = true; });
    pool.send({}, qz::RequestId("2"), 2s, [&](auto) { wasCalled = true; });
    bool isAnswered = false;
    pool.send({}, qz::RequestId("3"), 2s, [&](auto result) {
        isAnswered = result.has_value();
        loop.stop();
    });
    loop.runFor(50ms);
    pool.cancel(first);
    loop.runFor(1s);
    BOOST_TEST(isAnswered);
    BOOST_TEST(!wasCalled);
    BOOST_TEST(server.connectionCount() == 3);
}
