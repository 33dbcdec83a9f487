// Tests of reading, checking and looking up rules.
#include "qz_rules/model/ruleset.h"

#include "qz_rules/tests/documents.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::shared_ptr<const qz::RuleSet> parsed(const json &document)
{
    auto rules = qz::RuleSet::parse(document.dump());
    BOOST_REQUIRE_MESSAGE(rules.has_value(), (rules ? "" : rules.error().message_));
    return rules.value();
}

std::string kindOf(const qz::RuleSet &rules, std::string_view method, std::string_view path,
                   const std::string &workspace = "cuenca")
{
    const auto *kind = rules.classify({ method, path, qz::WorkspaceId(workspace) });
    return kind == nullptr ? "" : kind->name_;
}

struct BadDocument
{
    const char *pointer_;   ///< Which member is replaced.
    const char *value_;     ///< By what.
    const char *complaint_; ///< A line that must be among the problems.
};

constexpr const char *nameLine = "must be 1 to 256 bytes of text without control characters";

} // namespace

BOOST_AUTO_TEST_CASE(eachExampleIsAValidDocument)
{
    for (const char *file : { "nakhla.json", "red-andina.json" }) {
        const auto rules = qz::RuleSet::parse(qz::readExample(file));
        BOOST_TEST(rules.has_value(), file);
    }
}

BOOST_AUTO_TEST_CASE(ranksAreSortedAndKindsPointIntoThem)
{
    json document = qz::exampleDocument();
    std::reverse(document["ranks"].begin(), document["ranks"].end());
    const auto rules = parsed(document);
    BOOST_TEST(rules->ranks().front().name_ == "patron-waiting");
    const auto *loan = rules->classify({ "POST", "/pedidos", qz::WorkspaceId("cuenca") });
    BOOST_REQUIRE(loan != nullptr);
    BOOST_TEST(rules->ranks()[loan->rank_].name_ == "loan");
    BOOST_TEST((loan->deadline_ == 8s));
    BOOST_TEST(loan->worth_ == 120.0);
    BOOST_TEST(!loan->repeatable_);
}

BOOST_AUTO_TEST_CASE(aKindWithoutAWorthHasThatOfItsRank)
{
    const auto rules = parsed(qz::exampleDocument());
    BOOST_TEST(rules->classify({ "GET", "/busqueda", {} })->worth_ == 50.0);
}

BOOST_AUTO_TEST_CASE(theLongestPrefixOfWholeSegmentsWins)
{
    const auto rules = parsed(qz::exampleDocument());
    BOOST_TEST(kindOf(*rules, "GET", "/busqueda") == "search");
    BOOST_TEST(kindOf(*rules, "GET", "/busqueda/x/y/z?q=/busqueda/lote") == "search");
    BOOST_TEST(kindOf(*rules, "GET", "/busqueda/lote/7") == "bulk-search");
    BOOST_TEST(kindOf(*rules, "GET", "/busqueda/loteria") == "search");
    BOOST_TEST(kindOf(*rules, "GET", "/busquedas").empty());
    BOOST_TEST(kindOf(*rules, "DELETE", "/busqueda").empty());
    BOOST_TEST(kindOf(*rules, "GET", "").empty());
    BOOST_TEST(kindOf(*rules, "GET", std::string(100000, '/')).empty());
}

BOOST_AUTO_TEST_CASE(aRouteWithTheMethodGoesBeforeOneForAllAndALongerOneOfAnotherMethodIsPassed)
{
    json document = qz::exampleDocument();
    document["routes"] = json::parse(R"([
        {"path_prefix": "/", "labels": {"work": "record"}},
        {"path_prefix": "/", "method": "PUT", "labels": {"work": "search"}},
        {"path_prefix": "/a/b", "method": "POST", "labels": {"work": "loan-request"}},
        {"path_prefix": "/a", "labels": {"work": "loan-status"}},
        {"path_prefix": "/lote", "labels": {"work": "bulk-search"}}])");
    const auto rules = parsed(document);
    BOOST_TEST(kindOf(*rules, "GET", "/zzz") == "record");
    BOOST_TEST(kindOf(*rules, "PUT", "/zzz") == "search");
    BOOST_TEST(kindOf(*rules, "POST", "/a/b/c") == "loan-request");
    BOOST_TEST(kindOf(*rules, "GET", "/a/b/c") == "loan-status");
}

BOOST_AUTO_TEST_CASE(theFirstKindWhoseSelectorMatchesWorkspaceAndMethodIsTaken)
{
    json document = qz::exampleDocument();
    json special = document["kinds"][0];
    special["name"] = "search-of-cuenca";
    special["selector"] = { { "work", "search" }, { "workspace", "cuenca" }, { "method", "GET" } };
    document["kinds"].insert(document["kinds"].begin(), special);
    const auto rules = parsed(document);
    BOOST_TEST(kindOf(*rules, "GET", "/busqueda", "cuenca") == "search-of-cuenca");
    BOOST_TEST(kindOf(*rules, "GET", "/busqueda", "quito-centro") == "search");
}

BOOST_AUTO_TEST_CASE(operatorsLabelsGoBeforeThoseOfThePlatform)
{
    const auto rules = parsed(qz::exampleDocument());
    const qz::Labels listed{ { "drain", "true" }, { "service", "fichas" } };
    const qz::Labels expected{ { "drain", "false" }, { "service", "fichas" } };
    BOOST_TEST((rules->labelsOf(qz::BackendServerId("fichas-3"), listed) == expected));
    BOOST_TEST((rules->labelsOf(qz::BackendServerId("fichas-4"), listed) == listed));
}

BOOST_AUTO_TEST_CASE(floorsAndWeightsHaveDefaults)
{
    const auto rules = parsed(qz::exampleDocument());
    BOOST_TEST(rules->floorOf(qz::ServiceId("busqueda")) == 0.75);
    BOOST_TEST(rules->floorOf(qz::ServiceId("else")) == qz::RuleSet::defaultFloor);
    BOOST_TEST(rules->workspaceWeight(qz::WorkspaceId("quito-centro")) == 2.0);
    BOOST_TEST(rules->workspaceWeight(qz::WorkspaceId("else"))
               == qz::RuleSet::defaultWorkspaceWeight);
}

BOOST_AUTO_TEST_CASE(eachKindOfFaultIsReportedWithItsField)
{
    const std::vector<BadDocument> cases{
        { "/ranks/0/name", "\"\"", nameLine },
        { "/ranks/0/name", "\"loan\"", "ranks[1].name: \"loan\" is there twice" },
        { "/ranks/0/order", "1", "ranks[1].order: 1 is there twice" },
        { "/ranks/0/order", "0.5", "ranks[0].order: must be a whole number from 0 to 1000" },
        { "/ranks/0/order", "18446744073709551615", "ranks[0].order: must be a whole number" },
        { "/ranks/0/target_ms", "0", "ranks[0].target_ms: must be a whole number from 1" },
        { "/ranks/0/share", "0.9", "ranks: the shares add up to more than 1" },
        { "/ranks/0/share", "1.1", "ranks[0].share: must be a number from 0 to 1" },
        { "/ranks/0/worth", "-1", "ranks[0].worth: must be a number from 0 to 1e+09" },
        { "/ranks/0/colour", "1", "ranks[0].colour: is not a known member" },
        { "/ranks", "[]", "ranks: must name at least one rank" },
        { "/ranks", "{}", "ranks: must be a list" },
        { "/colour", "1", "colour: is not a known member" },
        { "/kinds/2/rank", "\"x\"", "kinds[2].rank: no rank is named \"x\"" },
        { "/kinds/2", "7", "kinds[2]: must be an object" },
        { "/kinds/2/name", "\"search\"", "kinds[2].name: \"search\" is there twice" },
        { "/kinds/2/deadline_ms", "\"1\"", "kinds[2].deadline_ms: must be a whole number" },
        { "/kinds/2/repeatable", "1", "kinds[2].repeatable: must be true or false" },
        { "/kinds/2/selector", "[]", "kinds[2].selector: must be an object of labels" },
        { "/kinds/2/selector/work", "1", "kinds[2].selector: label \"work\"" },
        { "/kinds/2/selector/work", "\"x\"", "kinds[2].selector: no route puts these labels" },
        { "/kinds/1/selector/method", "\"GET\"", "kinds[1].selector: no route puts these labels" },
        { "/kinds/0/selector", "{}",
          "kinds[4].selector: all of its work already belongs to \"search\"" },
        { "/kinds/2/servers/service", "\"x\"", "kinds[2].servers: no service is named \"x\"" },
        { "/services/1/floor", "1.5", "services[1].floor: must be a number from 0 to 1" },
        { "/services/1/name", "\"busqueda\"", "services[1].name: \"busqueda\" is there twice" },
        { "/routes/1/path_prefix", "\"/busqueda/\"", "routes[1].path_prefix: \"/busqueda/\" is" },
        { "/routes/1/path_prefix", "\"x\"", "routes[1].path_prefix: must start with /" },
        { "/routes/1/method", "7", nameLine },
        { "/routes/1/labels/workspace", "\"x\"", "routes[1].labels: \"workspace\" comes from" },
        { "/workspaces/1/weight", "0", "workspaces[1].weight: must be a number from 0.001" },
        { "/workspaces/1/name", "\"cuenca\"", "workspaces[2].name: \"cuenca\" is there twice" },
        { "/backend_servers/0/labels/drain", "\"yes\"", "backend_servers[0].labels: \"drain\"" },
    };
    for (const BadDocument &bad : cases) {
        json document = qz::exampleDocument();
        document[json::json_pointer(bad.pointer_)] = json::parse(bad.value_);
        const auto rules = qz::RuleSet::parse(document.dump());
        BOOST_REQUIRE_MESSAGE(!rules, bad.pointer_ << " = " << bad.value_);
        BOOST_TEST((rules.error().kind_ == qz::ErrorKind::InvalidRules));
        BOOST_TEST(rules.error().message_.find(bad.complaint_) != std::string::npos,
                   bad.complaint_ << " is not in: " << rules.error().message_);
    }
}

BOOST_AUTO_TEST_CASE(eachMissingMemberIsReported)
{
    const json whole = qz::exampleDocument();
    for (const auto &section : whole.items()) {
        json document = whole;
        document.erase(section.key());
        BOOST_TEST(!qz::RuleSet::parse(document.dump()).has_value(), section.key());
        for (const auto &member : section.value()[0].items()) {
            document = whole;
            document[section.key()][0].erase(member.key());
            const bool isOptional = member.key() == "method";
            BOOST_TEST(qz::RuleSet::parse(document.dump()).has_value() == isOptional,
                       section.key() << "[0]." << member.key());
        }
    }
}

BOOST_AUTO_TEST_CASE(allProblemsAreReportedInOneGo)
{
    json document = qz::exampleDocument();
    document["ranks"][0]["share"] = 2;
    document["kinds"][1]["rank"] = "x";
    document["services"][0]["floor"] = "high";
    const std::string text = qz::RuleSet::parse(document.dump()).error().message_;
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 2);
}

BOOST_AUTO_TEST_CASE(aSyntaxErrorNamesItsLineAndColumn)
{
    const auto rules = qz::RuleSet::parse("{\n  \"ranks\": [\n    {\"name\" 7}\n  ]\n}");
    BOOST_REQUIRE(!rules);
    BOOST_TEST(rules.error().message_.rfind("line 3, column 13: ", 0) == 0U,
               rules.error().message_);
}

BOOST_AUTO_TEST_CASE(aMemberGivenTwiceIsAnError)
{
    std::string text = qz::readExample("red-andina.json");
    const std::string floor = "\"floor\": 0.75";
    text.replace(text.find(floor), floor.size(), "\"floor\": 0.75, \"floor\": 0.1");
    BOOST_REQUIRE(!qz::RuleSet::parse(text));
    BOOST_TEST(qz::RuleSet::parse(text).error().message_
               == "floor: member is given twice in one object");
}
