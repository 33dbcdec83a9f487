// Tests of reading and checking settings.
#include "qz_core/settings/settingsreader.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(aFlagGoesBeforeItsVariable)
{
    qz::SettingsReader reader({ { "peer-port", "7001" } }, { { "QUETZALDALE_PEER_PORT", "7002" } });
    BOOST_TEST(reader.port("peer-port") == 7001);
    BOOST_TEST(reader.problems().empty());
}

BOOST_AUTO_TEST_CASE(aVariableStandsForAMissingFlag)
{
    qz::SettingsReader reader({}, { { "QUETZALDALE_DRAIN_LIMIT_MS", "250" } });
    BOOST_TEST((reader.milliseconds("drain-limit-ms", 0ms, 1s) == 250ms));
}

BOOST_AUTO_TEST_CASE(allProblemsAreReportedTogether)
{
    qz::SettingsReader reader(
            { { "port", "70000" }, { "platform", "localhost:80" }, { "n", "1x" } }, {});
    reader.port("port");
    reader.endpoint("platform");
    reader.integer("n", 0, 9);
    reader.text("instance-id");
    BOOST_TEST(reader.problems().size() == 4U);
}

BOOST_AUTO_TEST_CASE(anEndpointIsAnIpNumberAndAPort)
{
    qz::SettingsReader reader({ { "platform", "127.0.0.1:8000" } }, {});
    BOOST_TEST((reader.endpoint("platform") == qz::Endpoint{ "127.0.0.1", 8000 }));
    BOOST_TEST(reader.problems().empty());
}
