// Mutated rules documents: each is read or refused with a message.
#include "qz_rules/model/fieldlocator.h"
#include "qz_rules/model/ruleset.h"
#include "qz_rules/tests/documents.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace {

std::string mutated(std::string text, std::mt19937_64 &random)
{
    static const std::vector<std::string> pieces{ "null", "-1",   "1e999", "\"\"", "{}", "[",
                                                  "}",    "\\u0", "\x80",  "true", ",",  "[[[[[" };
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(at, 1 + random() % 40);
            break;
        case 2:
            text.insert(at, pieces[random() % pieces.size()]);
            break;
        case 3:
            text.insert(at, text.substr(random() % text.size(), 1 + random() % 60));
            break;
        default:
            text.replace(at, 1 + random() % 8, pieces[random() % pieces.size()]);
            break;
        }
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(mutatedDocumentsAreReadOrRefusedWithAMessage)
{
    constexpr int documents = 20000;
    std::mt19937_64 random(20261204);
    const std::string texts[] = { qz::readExample("nakhla.json"),
                                  qz::readExample("red-andina.json") };
    int refused = 0;
    for (int i = 0; i < documents; ++i) {
        const std::string text = mutated(texts[i % 2], random);
        const auto rules = qz::RuleSet::parse(text);
        if (rules) {
            rules.value()->classify({ "GET", "/pedidos/1", qz::WorkspaceId("cuenca") });
            continue;
        }
        ++refused;
        BOOST_REQUIRE(!rules.error().message_.empty());
        qz::locateFields(text, { qz::fieldOfProblem(rules.error().message_) });
    }
    BOOST_TEST(refused > documents / 2);
    BOOST_TEST(refused < documents);
}

BOOST_AUTO_TEST_CASE(deepNestingIsRefused)
{
    BOOST_TEST(!qz::RuleSet::parse(std::string(1000000, '[')).has_value());
    BOOST_TEST(
            !qz::RuleSet::parse(std::string(200000, '[') + std::string(200000, ']')).has_value());
}

BOOST_AUTO_TEST_CASE(aFieldIsFoundOnItsLine)
{
    const std::string text =
            "{\n \"ranks\": [\n  {\"name\": \"a\"},\n  {\n   \"name\": \"b\"}\n ]\n}";
    const auto lines = qz::locateFields(text, { "ranks[1].name", "ranks[1].share", "kinds" });
    BOOST_TEST(lines.at("ranks[1].name") == 5U);
    BOOST_TEST(lines.at("ranks[1].share") == 4U);
    BOOST_TEST(lines.count("kinds") == 0U);
}
