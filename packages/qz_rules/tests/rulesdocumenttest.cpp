// Tests of cutting documents into sections and of putting them together.
#include "qz_rules/store/rulesdocument.h"

#include "qz_rules/tests/documents.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using nlohmann::json;

namespace {

json manyWorkspaces(int count)
{
    json document = qz::exampleDocument();
    for (int i = 0; i < count; ++i) {
        document["workspaces"].push_back({ { "name", "w" + std::to_string(i) }, { "weight", 1 } });
    }
    return document;
}

std::size_t newObjects(const qz::RulesDocument &before, const qz::RulesDocument &after)
{
    return static_cast<std::size_t>(std::count_if(
            after.objects().begin(), after.objects().end(),
            [&before](const auto &object) { return before.objects().count(object.first) == 0; }));
}

} // namespace

BOOST_AUTO_TEST_CASE(aDocumentThatIsCutAndJoinedIsTheSame)
{
    const json document = manyWorkspaces(5000);
    BOOST_TEST((json::parse(qz::RulesDocument::split(document)->text()) == document));
}

BOOST_AUTO_TEST_CASE(aChangeOfOneElementMovesTheManifestAndOneSection)
{
    json document = manyWorkspaces(5000);
    const auto before = qz::RulesDocument::split(document);
    BOOST_TEST(before->objects().size() > 10U);
    document["workspaces"][1700]["weight"] = 2;
    const auto changed = qz::RulesDocument::split(document);
    BOOST_TEST(newObjects(*before, *changed) == 2U);
    document["workspaces"].erase(1900);
    BOOST_TEST(newObjects(*changed, *qz::RulesDocument::split(document)) <= 3U);
}

BOOST_AUTO_TEST_CASE(anAssemblerAsksOnlyForWhatIsNotAtHand)
{
    json document = manyWorkspaces(5000);
    const auto before = qz::RulesDocument::split(document);
    document["workspaces"][1700]["weight"] = 2;
    const auto after = qz::RulesDocument::split(document);
    qz::RulesAssembler assembler(after->hash(), before->objects());
    while (!assembler.missing().empty()) {
        const std::string hash = *assembler.missing().begin();
        BOOST_TEST(before->objects().count(hash) == 0U);
        BOOST_TEST(assembler.add(hash, *after->objects().at(hash)).has_value());
    }
    BOOST_TEST(assembler.finish()->text() == after->text());
}

BOOST_AUTO_TEST_CASE(anObjectThatDoesNotMatchItsHashIsNotTaken)
{
    const auto document = qz::RulesDocument::split(qz::exampleDocument());
    qz::RulesAssembler assembler(document->hash(), {});
    BOOST_TEST(!assembler.add(document->hash(), "{\"lists\": []}").has_value());
    BOOST_TEST(assembler.missing().count(document->hash()) == 1U);
}
