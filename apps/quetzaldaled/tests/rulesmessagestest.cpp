// Tests of the encoding of the rules' messages.
#include "quetzaldaled/rulesmessages.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(rulesAnswerRoundTrips)
{
    qz::RulesAnswer answer;
    answer.requestId_ = 7;
    answer.digest_.known_ = { 3, 1 };
    answer.digest_.adopted_ = { 2, 5 };
    qz::RulesHead head;
    head.stamp_ = { 3, 1 };
    head.hash_ = "h";
    head.voters_ = { qz::VoterId("a/1") };
    answer.head_ = head;
    answer.tableAge_ = std::chrono::milliseconds(20);
    answer.vouchers_ = { { 0, answer.digest_, std::chrono::milliseconds(5) } };
    answer.objects_ = { { "h", "content" } };
    const auto bytes = qz::packMessage(qz::toMessage(answer, "1"));
    const auto message = qz::unpackMessage<qz::RulesAnswerMessage>(bytes);
    const auto read = qz::fromMessage(message.value()).value();
    BOOST_TEST(message.value().senderIncarnation_ == "1");
    BOOST_TEST(read.requestId_ == 7U);
    BOOST_TEST((read.digest_.adopted_ == answer.digest_.adopted_));
    BOOST_TEST(read.head_->voters_.front().value() == "a/1");
    BOOST_TEST((read.tableAge_ == answer.tableAge_));
    BOOST_TEST((read.vouchers_.front().age_ == answer.vouchers_.front().age_));
    BOOST_TEST(read.objects_.at("h") == "content");
}

BOOST_AUTO_TEST_CASE(rulesAnswerWithAMalformedHeadIsRejected)
{
    qz::RulesAnswerMessage message;
    message.head_ = "{";
    BOOST_TEST(qz::fromMessage(message).has_error());
}
