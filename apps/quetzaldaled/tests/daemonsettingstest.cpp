// Tests of the daemon's settings.
#include "quetzaldaled/daemonsettings.h"

#include <boost/test/unit_test.hpp>

namespace {

qz::SettingsReader::Values makeGoodFlags()
{
    return { { "instance-id", "i0" },
             { "region", "alex" },
             { "failure-domain", "alex-a" },
             { "caller-address", "127.0.0.1:8000" },
             { "peer-address", "127.0.0.1:8001" },
             { "platform-address", "127.0.0.1:8002" } };
}

const qz::SettingsReader::Values secrets{ { "QUETZALDALE_FLEET_KEY", "0123456789abcdef" },
                                          { "QUETZALDALE_OPERATOR_TOKEN", "0123456789abcdef" } };

std::vector<std::string> problemsOf(const qz::SettingsReader::Values &flags,
                                    const qz::SettingsReader::Values &environment = secrets)
{
    qz::SettingsReader reader(flags, environment);
    qz::DaemonSettings::read(reader);
    return reader.problems();
}

} // namespace

BOOST_AUTO_TEST_CASE(goodSettingsHaveNoProblems)
{
    BOOST_TEST(problemsOf(makeGoodFlags()).empty());
}

BOOST_AUTO_TEST_CASE(missingSettingsAreAllNamed)
{
    BOOST_TEST(problemsOf({}, {}).size() == 8U);
}

BOOST_AUTO_TEST_CASE(contradictionsAreProblems)
{
    auto flags = makeGoodFlags();
    flags["peer-address"] = flags["caller-address"];
    flags["drain-grace-ms"] = "500";
    BOOST_TEST(problemsOf(flags).size()
               == 3U); // Addresses; gates' grace and keep time above the grace.
}

BOOST_AUTO_TEST_CASE(shortSecretsAreRefusedAndNeverShown)
{
    const auto problems = problemsOf(makeGoodFlags(),
                                     { { "QUETZALDALE_FLEET_KEY", "hunter2" },
                                       { "QUETZALDALE_OPERATOR_TOKEN", "0123456789abcdef" } });
    BOOST_REQUIRE(problems.size() == 1U);
    BOOST_TEST(problems.front().find("hunter2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(printedSettingsHoldNoSecrets)
{
    qz::SettingsReader reader(makeGoodFlags(), secrets);
    const auto settings = qz::DaemonSettings::read(reader);
    BOOST_TEST(settings.toJson().dump().find("0123456789abcdef") == std::string::npos);
}
