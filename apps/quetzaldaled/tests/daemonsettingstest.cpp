// Tests of the daemon's settings.
#include "quetzaldaled/daemonsettings.h"

#include <boost/test/unit_test.hpp>

namespace {

qz::SettingsReader::Values makeValidFlags()
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

BOOST_AUTO_TEST_CASE(validSettingsHaveNoProblems)
{
    BOOST_TEST(problemsOf(makeValidFlags()).empty());
}

BOOST_AUTO_TEST_CASE(allMissingSettingsAreReported)
{
    BOOST_TEST(problemsOf({}, {}).size() == 8U);
}

BOOST_AUTO_TEST_CASE(contradictorySettingsAreReported)
{
    auto flags = makeValidFlags();
    flags["peer-address"] = flags["caller-address"];
    flags["drain-grace-ms"] = "500";
    // The addresses are equal; gate-drain-grace-ms and address-keep-ms exceed drain-grace-ms.
    BOOST_TEST(problemsOf(flags).size() == 3U);
}

BOOST_AUTO_TEST_CASE(shortSecretsAreRejectedAndNotShown)
{
    const auto problems = problemsOf(makeValidFlags(),
                                     { { "QUETZALDALE_FLEET_KEY", "hunter2" },
                                       { "QUETZALDALE_OPERATOR_TOKEN", "0123456789abcdef" } });
    BOOST_REQUIRE(problems.size() == 1U);
    BOOST_TEST(problems.front().find("hunter2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(printedSettingsContainNoSecrets)
{
    qz::SettingsReader reader(makeValidFlags(), secrets);
    const auto settings = qz::DaemonSettings::read(reader);
    BOOST_TEST(settings.toJson().dump().find("0123456789abcdef") == std::string::npos);
}
