// Tests of the table key and JSON format of a claim row.
#include "qz_once/claims/claimrow.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(differentKeysNeverShareARow)
{
    using qz::IdempotencyKey;
    using qz::WorkspaceId;
    BOOST_TEST(qz::claimRowKey(WorkspaceId("a/b"), IdempotencyKey("c"))
               != qz::claimRowKey(WorkspaceId("a"), IdempotencyKey("b/c")));
    BOOST_TEST(qz::claimRowKey(WorkspaceId("a"), IdempotencyKey("%2F"))
               != qz::claimRowKey(WorkspaceId("a"), IdempotencyKey("/")));
    BOOST_TEST(qz::claimRowKey(WorkspaceId("a"), IdempotencyKey("b")) == "once/a/b");
}

BOOST_AUTO_TEST_CASE(parsingRestoresAFormattedRow)
{
    const qz::ClaimRow row{ qz::AttemptToken("t"), qz::InstanceId("i"), "n", qz::ClaimState::Ran };
    const qz::ClaimRow read = qz::parseClaimRow(qz::toJson(row)).value();
    BOOST_TEST(read.token_.value() == "t");
    BOOST_TEST(read.claimer_.value() == "i");
    BOOST_TEST(read.incarnation_ == "n");
    BOOST_TEST((read.state_ == qz::ClaimState::Ran));
}

BOOST_AUTO_TEST_CASE(textThatIsNoClaimRowIsAnError)
{
    for (const char *text :
         { "", "[]", "{}", R"({"token":1,"claimer":"","incarnation":"","state":"ran"})",
           R"({"token":"","claimer":"","incarnation":"","state":"other"})" }) {
        BOOST_TEST(!qz::parseClaimRow(text).has_value(), text);
    }
}
