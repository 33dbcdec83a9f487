// Tests of the routing table and of the traffic split.
#include "qz_routing/qz_routing.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace std::chrono_literals;

namespace {

qz::RequestRoute makeRoute(const std::string &host, const std::string &prefix,
                           const std::string &service)
{
    qz::RequestRoute route;
    route.name_ = host + prefix;
    route.host_ = host;
    route.prefix_ = prefix;
    route.timeout_ = 2s;
    route.target_ = 1s;
    route.shares_ = { { qz::ServiceId(service), 1.0 } };
    return route;
}

qz::RoutingTable::Builder makeBuilder()
{
    qz::RoutingTable::Builder builder;
    builder.setVersion(7).addService(qz::ServiceId("a")).addService(qz::ServiceId("b"));
    return builder;
}

} // namespace

BOOST_AUTO_TEST_CASE(findsTheRouteOfTheHostWithTheLongestPrefix)
{
    auto builder = makeBuilder();
    builder.addRoute(makeRoute("One.example", "/x/", "a"));
    builder.addRoute(makeRoute("one.example", "/x/y/", "b"));
    builder.addRoute(makeRoute("two.example", "/", "a"));
    const auto table = builder.build().value();
    BOOST_TEST(table->find("one.example", "/x/y/z")->prefix_ == "/x/y/");
    BOOST_TEST(table->find("ONE.example:8080", "/x/yy")->prefix_ == "/x/");
    BOOST_TEST(table->find("two.example", "/anything")->prefix_ == "/");
    BOOST_TEST(table->find("one.example", "/x") == nullptr);
    BOOST_TEST(table->find("one.example", "/") == nullptr);
    BOOST_TEST(table->find("three.example", "/x/") == nullptr);
    BOOST_TEST(table->find("one.example", "") == nullptr);
}

BOOST_AUTO_TEST_CASE(aConfigurationWithAnInvalidRouteIsRejected)
{
    const auto isRejected = [](qz::RequestRoute route) {
        auto builder = makeBuilder();
        builder.addRoute(makeRoute("one.example", "/x/", "a"));
        builder.addRoute(std::move(route));
        return builder.build().has_error();
    };
    BOOST_TEST(isRejected(makeRoute("one.example", "/x/", "b")));
    BOOST_TEST(isRejected(makeRoute("one.example", "/y", "b")));
    BOOST_TEST(isRejected(makeRoute("one.example", "y/", "b")));
    BOOST_TEST(isRejected(makeRoute("one.example", "/y/", "unknown")));
    auto route = makeRoute("one.example", "/y/", "b");
    route.timeout_ = 0s;
    BOOST_TEST(isRejected(route));
    route = makeRoute("one.example", "/y/", "b");
    route.shares_[0].weight_ = 0.0;
    BOOST_TEST(isRejected(route));
    route = makeRoute("one.example", "/y/", "b");
    route.maxAttempts_ = 0;
    BOOST_TEST(isRejected(route));
    BOOST_TEST(!isRejected(makeRoute("one.example", "/y/", "b")));
}

BOOST_AUTO_TEST_CASE(sharesAreExactWithinOneRequest)
{
    qz::RequestRoute route = makeRoute("h", "/", "a");
    route.shares_ = { { qz::ServiceId("a"), 90.0 }, { qz::ServiceId("b"), 10.0 } };
    std::mt19937_64 random(1);
    qz::TrafficSplit split;
    std::map<std::string, int> counts;
    for (int i = 1; i <= 500; ++i) {
        ++counts[split.next(route, random).value()];
        BOOST_TEST(std::abs(counts["b"] - i * 0.1) <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(manyProcessesWithFewRequestsAreBalancedTogether)
{
    qz::RequestRoute route = makeRoute("h", "/", "a");
    route.shares_ = { { qz::ServiceId("a"), 75.0 }, { qz::ServiceId("b"), 25.0 } };
    std::mt19937_64 random(2);
    int count = 0;
    constexpr int processes = 400;
    for (int process = 0; process < processes; ++process) {
        qz::TrafficSplit split;
        count += split.next(route, random).value() == "b" ? 1 : 0;
    }
    // Deployments allow a deviation of a tenth; one request per process is the worst case.
    BOOST_TEST(std::abs(count / double(processes) - 0.25) < 0.1);
}
