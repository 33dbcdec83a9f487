// Tests of the platform's client: what each kind of failure is told as.
#include "qz_platform/client/platformclient.h"

#include "qz_http/tests/rawsocket.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace qz::testing;

namespace {

std::string makeAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Platform
{
    explicit Platform(const std::string &answer)
        : server_(loop_,
                  [answer](bufferevent *stream, int /*reads*/) {
                      if (!answer.empty()) {
                          write(stream, answer);
                      }
                  })
        , client_(loop_, server_.endpoint(), 100ms)
    {
    }

    qz::Result<qz::CommitDecision> commit()
    {
        std::optional<qz::Result<qz::CommitDecision>> result;
        client_.commit({ qz::TableWrite{ "k", 0, "v" } }, [&](auto decision) {
            result.emplace(decision);
            loop_.stop();
        });
        loop_.runFor(2s);
        return *result;
    }

    qz::Result<std::optional<qz::TableRow>> read()
    {
        std::optional<qz::Result<std::optional<qz::TableRow>>> result;
        client_.read("a/b", [&](auto row) {
            result.emplace(row);
            loop_.stop();
        });
        loop_.runFor(2s);
        return *result;
    }

    qz::EventLoop loop_;
    RawServer server_;
    qz::PlatformClient client_;
};

} // namespace

BOOST_AUTO_TEST_CASE(aCommitIsAppliedOrNamesItsConflicts)
{
    BOOST_TEST(Platform(makeAnswer(200, "{}")).commit().value().isApplied());
    const auto conflict = Platform(makeAnswer(412, R"({"conflicts":["k"]})")).commit();
    BOOST_TEST(conflict.value().conflicts_.front() == "k");
}

BOOST_AUTO_TEST_CASE(onlyARefusalIsToldAsNotCarriedOut)
{
    BOOST_TEST(qz::toString(Platform(makeAnswer(503, "")).commit().error().kind_)
               == "store-unavailable");
    BOOST_TEST(qz::toString(Platform(makeAnswer(500, "")).commit().error().kind_)
               == "store-timeout");
    BOOST_TEST(qz::toString(Platform("").commit().error().kind_) == "store-timeout");
    BOOST_TEST(qz::toString(Platform("garbage\r\n\r\n").commit().error().kind_) == "store-timeout");
}

BOOST_AUTO_TEST_CASE(anAbsentRowIsNoError)
{
    BOOST_TEST(!Platform(makeAnswer(404, "")).read().value().has_value());
    const auto row = Platform(makeAnswer(200, R"({"value":"x","version":7})")).read();
    BOOST_TEST(row.value()->value_ == "x");
    BOOST_TEST(row.value()->version_ == 7U);
}

BOOST_AUTO_TEST_CASE(aRowThatCannotBeReadIsMalformed)
{
    BOOST_TEST(qz::toString(Platform(makeAnswer(200, "[]")).read().error().kind_)
               == "malformed-reply");
    BOOST_TEST(qz::toString(Platform(makeAnswer(200, "{")).read().error().kind_)
               == "malformed-reply");
}

BOOST_AUTO_TEST_CASE(aListingReadsBackAsWritten)
{
    qz::InstanceListing listing;
    listing.instances_.push_back({ qz::InstanceId("i"),
                                   { qz::RegionId("r"), qz::FailureDomainId("d") },
                                   { "127.0.0.1", 1 },
                                   { "127.0.0.1", 2 },
                                   qz::ListedState::Leaving });
    qz::ListedBackendServer server;
    server.id_ = qz::BackendServerId("b");
    server.labels_ = { { "service", "orders" } };
    server.slots_ = 4;
    listing.backendServers_.push_back(server);
    const auto read = qz::parseInstanceListing(qz::formatInstanceListing(listing));
    BOOST_TEST(qz::formatInstanceListing(read.value()) == qz::formatInstanceListing(listing));
    BOOST_TEST(qz::parseInstanceListing("{}").has_error());
}
