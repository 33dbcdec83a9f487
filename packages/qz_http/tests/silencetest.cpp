// Tests of connections to hosts that have gone silent, and to those that only read nothing.
#include "qz_http/stream/backendconnection.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

#include <linux/filter.h>

#include <optional>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

/// A host that takes connections and reads nothing by itself. It acknowledges what arrives until it
/// vanishes.
class UnreadingHost
{
public:
    UnreadingHost()
        : listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int window = 32768;
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        sockaddr_in address = toAddress({ "127.0.0.1", 0 });
        socklen_t size = sizeof address;
        (void)bind(listener_, reinterpret_cast<sockaddr *>(&address), size);
        (void)listen(listener_, 1);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        endpoint_ = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~UnreadingHost()
    {
        evutil_closesocket(connection_);
        evutil_closesocket(listener_);
    }
    UnreadingHost(const UnreadingHost &) = delete;
    UnreadingHost &operator=(const UnreadingHost &) = delete;

    const qz::Endpoint &endpoint() const { return endpoint_; }
    void accept() { connection_ = ::accept(listener_, nullptr, nullptr); }

    /// Reads what has arrived. Returns the number of bytes.
    std::size_t read() const
    {
        std::string bytes(std::size_t(1024) * 1024, '\0');
        const ssize_t count = recv(connection_, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    void write(const std::string &text) const
    {
        BOOST_TEST(send(connection_, text.data(), text.size(), MSG_NOSIGNAL)
                   == static_cast<ssize_t>(text.size()));
    }

    /// Drops all that arrives from now on, so that nothing is acknowledged any more.
    void vanish() const
    {
        sock_filter dropAll{ BPF_RET | BPF_K, 0, 0, 0 };
        const sock_fprog program{ 1, &dropAll };
        BOOST_TEST(setsockopt(connection_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
                   == 0);
    }

private:
    int listener_;
    int connection_ = -1;
    qz::Endpoint endpoint_;
};

/// Sends an upload of @p size bytes once connected.
class UploadListener : public qz::BackendConnectionListener
{
public:
    UploadListener(qz::BackendConnection &connection, std::size_t size)
        : connection_(connection)
        , size_(size)
    {
    }

    void takeConnected() override
    {
        qz::HttpHead head;
        head.method_ = "POST";
        head.framing_ = qz::BodyFraming::Length;
        head.length_ = size_;
        connection_.sendHead(head);
        connection_.sendBody(std::string(size_, 'x'));
        connection_.endRequest();
    }
    void takeAnswerHead(qz::HttpHead head) override { status_ = head.status_; }
    void takeAnswerBody(std::string_view /*data*/) override { }
    void takeAnswerEnd() override { }
    void takeFailure(const qz::Error &error) override { failure_ = error; }
    void takeSendDrained() override { }

    qz::BackendConnection &connection_;
    const std::size_t size_;
    int status_ = 0;
    std::optional<qz::Error> failure_;
};

constexpr qz::Duration limit = 2s; ///< Of silence.
constexpr std::size_t uploadSizes[] = { 360000, 16UL * 1024 * 1024 };

} // namespace

// Guards against uploads that are broken off while their server works and reads them later.
BOOST_AUTO_TEST_CASE(serverThatReadsLateKeepsItsUpload)
{
    for (const std::size_t size : uploadSizes) {
        qz::EventLoop loop;
        UnreadingHost host;
        qz::BackendConnection connection(loop, host.endpoint(), limit);
        UploadListener listener(connection, size);
        connection.setListener(&listener);
        loop.runFor(50ms);
        host.accept();
        loop.runFor(6s);
        BOOST_TEST(!listener.failure_.has_value());
        std::size_t count = 0;
        const auto end = loop.now() + 5s;
        while (count < size && loop.now() < end) {
            count += host.read();
            loop.runFor(1ms);
        }
        BOOST_TEST(count >= size);
        host.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        loop.runFor(50ms);
        BOOST_TEST(listener.status_ == 200);
    }
}

// Guards against a host that has gone silent and is noticed later than its limit says.
BOOST_AUTO_TEST_CASE(hostThatVanishesIsNoticedInTimeAlsoWhileItsWindowIsClosed)
{
    for (const auto aliveFor : { 300ms, 1200ms, 2500ms, 5000ms }) {
        for (const std::size_t size : uploadSizes) {
            qz::EventLoop loop;
            UnreadingHost host;
            qz::BackendConnection connection(loop, host.endpoint(), limit);
            UploadListener listener(connection, size);
            connection.setListener(&listener);
            loop.runFor(50ms);
            host.accept();
            loop.runFor(aliveFor);
            BOOST_TEST(!listener.failure_.has_value());
            host.vanish();
            const auto begin = loop.now();
            while (!listener.failure_ && loop.now() - begin < 8s) {
                loop.runFor(10ms);
            }
            const auto elapsed = loop.now() - begin;
            BOOST_TEST_MESSAGE("noticed after " << std::chrono::duration<double>(elapsed).count()
                                                << " s");
            BOOST_REQUIRE(listener.failure_.has_value());
            BOOST_CHECK(listener.failure_->kind_ == qz::ErrorKind::BackendTimeout);
            BOOST_TEST((elapsed < limit + 500ms));
        }
    }
}
