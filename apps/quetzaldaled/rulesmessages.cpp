// Converts between the rules' messages and their form on the links.
#include "quetzaldaled/rulesmessages.h"

namespace qz {

namespace {

RulesDigestMessage toMessage(const RulesDigest &digest)
{
    return { digest.known_.version_, digest.known_.epoch_, digest.adopted_.version_,
             digest.adopted_.epoch_ };
}

} // namespace

RulesRequestMessage toMessage(const RulesRequest &request, const RulesDigest &digest,
                              const std::string &incarnation)
{
    RulesRequestMessage message;
    message.senderIncarnation_ = incarnation;
    message.digest_ = toMessage(digest);
    message.id_ = request.id_;
    message.knownVersion_ = request.known_.version_;
    message.knownEpoch_ = request.known_.epoch_;
    message.wanted_ = request.wanted_;
    return message;
}

RulesAnswerMessage toMessage(const RulesAnswer &answer, const std::string &incarnation)
{
    RulesAnswerMessage message;
    message.senderIncarnation_ = incarnation;
    message.requestId_ = answer.requestId_;
    message.digest_ = toMessage(answer.digest_);
    if (answer.head_) {
        message.head_ = encodeHead(*answer.head_);
    }
    message.hasTableAge_ = answer.tableAge_.has_value();
    message.tableAge_ = answer.tableAge_.value_or(Duration::zero());
    for (const RulesVoucher &voucher : answer.vouchers_) {
        message.vouchers_.push_back({ voucher.voter_, toMessage(voucher.digest_), voucher.age_ });
    }
    message.objects_ = answer.objects_;
    return message;
}

RulesDigest fromMessage(const RulesDigestMessage &message)
{
    return { { message.knownVersion_, message.knownEpoch_ },
             { message.adoptedVersion_, message.adoptedEpoch_ } };
}

RulesRequest fromMessage(const RulesRequestMessage &message)
{
    return { message.id_, { message.knownVersion_, message.knownEpoch_ }, message.wanted_ };
}

Result<RulesAnswer> fromMessage(const RulesAnswerMessage &message)
{
    RulesAnswer answer;
    answer.requestId_ = message.requestId_;
    answer.digest_ = fromMessage(message.digest_);
    if (!message.head_.empty()) {
        BOOST_OUTCOME_TRY(head, decodeHead(message.head_));
        answer.head_ = std::move(head);
    }
    if (message.hasTableAge_) {
        answer.tableAge_ = message.tableAge_;
    }
    for (const RulesVoucherMessage &voucher : message.vouchers_) {
        answer.vouchers_.push_back({ voucher.voter_, fromMessage(voucher.digest_), voucher.age_ });
    }
    answer.objects_ = message.objects_;
    return answer;
}

} // namespace qz
