// Tests of the estimate of a link's outgoing transfers.
#include "qz_replica/exchange/linkusage.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

const qz::TimePoint start{ 100s };

} // namespace

BOOST_AUTO_TEST_CASE(messagesAreAvailableForAFifthOfASecond)
{
    const qz::LinkUsage link(10.0);
    BOOST_CHECK(link.transferTime(125'000) == 100ms);
    BOOST_TEST(link.availableMessages(125'000, start) == 2);
    BOOST_TEST(link.availableMessages(1'000, start) == 250);
    BOOST_TEST(link.availableMessages(0, start) > 1'000'000);
    // A message that takes longer is sent over an idle link only.
    BOOST_TEST(link.availableMessages(1'000'000, start) == 1);
}

BOOST_AUTO_TEST_CASE(sentMessagesOccupyTheLinkUntilTheyAreTransferred)
{
    qz::LinkUsage link(10.0);
    link.recordSent(125'000, start);
    BOOST_TEST(link.availableMessages(125'000, start) == 1);
    BOOST_TEST(link.availableMessages(1'000'000, start) == 0);
    link.recordSent(125'000, start);
    BOOST_TEST(link.availableMessages(1'000, start) == 0);
    BOOST_TEST(link.availableMessages(125'000, start + 110ms) == 1);
    BOOST_TEST(link.availableMessages(125'000, start + 200ms) == 2);
}
