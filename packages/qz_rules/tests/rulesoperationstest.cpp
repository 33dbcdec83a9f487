// Tests of what operators are answered.
#include "qz_rules/operators/rulesoperations.h"

#include "qz_rules/tests/ruleharness.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct Fixture
{
    Fixture() { harness_.run(3s); }

    qz::RulesReply put(const std::string &ifMatch, const std::string &document)
    {
        std::optional<qz::RulesReply> reply;
        qz::RulesPut put{ ifMatch, document, "ana", "" };
        operations_.put(std::move(put), [&reply](const qz::RulesReply &r) { reply = r; });
        for (int i = 0; i < 1000 && !reply; ++i) {
            harness_.step();
        }
        BOOST_REQUIRE(reply.has_value());
        return *reply;
    }

    qz::RuleHarness harness_{ 3 };
    qz::RulesOperations operations_{ *harness_.node(0).service_ };
    const std::string document_ = qz::readExample("nakhla.json");
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aDocumentThatIsPutIsWhatIsGot, Fixture)
{
    BOOST_TEST(operations_.get().status_ == 404);
    const auto reply = put("\"0\"", document_);
    BOOST_TEST(reply.status_ == 200);
    BOOST_TEST((reply.version_ == qz::RulesVersion{ 1 }));
    BOOST_TEST((json::parse(operations_.get().body_) == json::parse(document_)));
    BOOST_TEST((operations_.get().version_ == qz::RulesVersion{ 1 }));
}

BOOST_FIXTURE_TEST_CASE(eachWayToFailHasItsStatus, Fixture)
{
    BOOST_TEST(put("", document_).status_ == 400);
    BOOST_TEST(put("x", document_).status_ == 400);
    BOOST_TEST(put("0", "{}").status_ == 422);
    BOOST_TEST(put("0", document_).status_ == 200);
    const auto conflict = put("0", qz::readExample("red-andina.json"));
    BOOST_TEST(conflict.status_ == 409);
    BOOST_TEST(conflict.body_.find("look at version 1") != std::string::npos);
    harness_.setOutage(true);
    harness_.run(1s);
    const auto away = put("1", document_);
    BOOST_TEST(away.status_ == 503);
    BOOST_TEST(json::parse(away.body_)["outcome"] == "not-run");
}

BOOST_FIXTURE_TEST_CASE(theStatusTellsWhetherTheRulesAreInForce, Fixture)
{
    BOOST_TEST(put("0", document_).status_ == 200);
    harness_.run(2s);
    const json status = json::parse(operations_.status().body_);
    BOOST_TEST(status["adopted"]["version"] == 1);
    BOOST_TEST(status["in_force"] == true);
    BOOST_TEST(status["accepted"] == true);
    BOOST_TEST(status["voters"] == 3);
}
