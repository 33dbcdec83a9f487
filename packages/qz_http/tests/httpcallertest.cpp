// Tests of control calls to servers that misbehave.
#include "qz_http/stream/httpcaller.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

constexpr std::size_t answerLimit = std::size_t(256) * 1024;

/// Calls @p server once. Returns the result, or nothing if there is none within @p limit.
std::optional<qz::Result<qz::HttpResponse>> callOnce(qz::EventLoop &loop,
                                                     const qz::Endpoint &server, qz::Duration limit)
{
    qz::HttpCaller caller(loop, server, 500ms, 2s, answerLimit);
    std::optional<qz::Result<qz::HttpResponse>> result;
    caller.call({}, 5s, [&](qz::Result<qz::HttpResponse> answer) {
        result.emplace(std::move(answer));
        loop.stop();
    });
    if (!result) {
        loop.runFor(limit);
    }
    return result;
}

} // namespace

// Guards against an answer without end that is kept until its call has timed out.
BOOST_AUTO_TEST_CASE(answerOverTheLimitEndsTheCallAtOnce)
{
    for (const std::string head :
         { "Transfer-Encoding: chunked\r\n\r\n", "\r\n", "Content-Length: 1000000000\r\n\r\n" }) {
        qz::EventLoop loop;
        const std::string piece = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
        std::vector<qz::Timers::HandlePtr> writes;
        RawServer server(loop, [&](bufferevent *stream, int /*reads*/) {
            write(stream, "HTTP/1.1 200 OK\r\n" + head);
            for (std::size_t sent = 0; sent < 2 * answerLimit; sent += piece.size()) {
                write(stream, piece);
            }
        });
        const auto result = callOnce(loop, server.endpoint(), 1s);
        BOOST_TEST_INFO(head);
        BOOST_REQUIRE((result && result->has_error()));
        BOOST_CHECK(result->error().kind_ == qz::ErrorKind::AnswerTooLarge);
    }
}

BOOST_AUTO_TEST_CASE(answerWithinTheLimitIsTakenWhole)
{
    qz::EventLoop loop;
    RawServer server(loop, [](bufferevent *stream, int /*reads*/) {
        write(stream,
              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answerLimit) + "\r\n\r\n"
                      + std::string(answerLimit, 'x'));
    });
    const auto result = callOnce(loop, server.endpoint(), 1s);
    BOOST_REQUIRE((result && result->has_value()));
    BOOST_TEST(result->value().body_.size() == answerLimit);
}
