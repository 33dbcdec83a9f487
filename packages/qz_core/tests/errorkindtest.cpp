// Tests of the table from error kind to answer.
#include "qz_core/errors/errorkind.h"

#include <boost/test/unit_test.hpp>

#include <set>

BOOST_AUTO_TEST_CASE(everyKindHasAUniqueNameThatLeadsBackToIt)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < qz::errorKindCount(); ++i) {
        const auto kind = static_cast<qz::ErrorKind>(i);
        BOOST_TEST(names.insert(qz::toString(kind)).second);
        BOOST_TEST((qz::errorKindFromName(qz::toString(kind)) == kind));
    }
}

BOOST_AUTO_TEST_CASE(onlyKindsThatDidNotRunAreRetriedInTheFleet)
{
    for (std::size_t i = 0; i < qz::errorKindCount(); ++i) {
        const qz::ErrorAnswer &answer = qz::answerOf(static_cast<qz::ErrorKind>(i));
        BOOST_TEST((!answer.retryInFleet_ || answer.outcome_ == qz::Outcome::NotRun));
    }
}

BOOST_AUTO_TEST_CASE(anUnknownNameHasNoKind)
{
    BOOST_TEST(!qz::errorKindFromName("no-such-kind").has_value());
}
