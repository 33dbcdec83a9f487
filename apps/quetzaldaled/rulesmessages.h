// The messages about rules as they are encoded on the links between instances.
#pragma once

#include "qz_fleet/messages/packing.h"
#include "qz_rules/spread/messages.h"

namespace qz {

struct RulesDigestMessage
{
    RulesVersion knownVersion_ = 0;
    std::uint64_t knownEpoch_ = 0;
    RulesVersion adoptedVersion_ = 0;
    std::uint64_t adoptedEpoch_ = 0;

    MSGPACK_DEFINE_ARRAY(knownVersion_, knownEpoch_, adoptedVersion_, adoptedEpoch_)
};

struct RulesVoucherMessage
{
    std::uint16_t voter_ = 0;
    RulesDigestMessage digest_;
    Duration age_{};

    MSGPACK_DEFINE_ARRAY(voter_, digest_, age_)
};

struct RulesRequestMessage
{
    std::string senderIncarnation_;
    RulesDigestMessage digest_;
    std::uint64_t id_ = 0;
    RulesVersion knownVersion_ = 0;
    std::uint64_t knownEpoch_ = 0;
    std::vector<std::string> wanted_;

    MSGPACK_DEFINE_ARRAY(senderIncarnation_, digest_, id_, knownVersion_, knownEpoch_, wanted_)
};

struct RulesAnswerMessage
{
    std::string senderIncarnation_;
    std::uint64_t requestId_ = 0;
    RulesDigestMessage digest_;
    std::string head_; ///< Text of the head row; empty if the answer has no head.
    bool hasTableAge_ = false;
    Duration tableAge_{};
    std::vector<RulesVoucherMessage> vouchers_;
    std::map<std::string, std::string> objects_;

    MSGPACK_DEFINE_ARRAY(senderIncarnation_, requestId_, digest_, head_, hasTableAge_, tableAge_,
                         vouchers_, objects_)
};

/// Converts to the encoded form. @p incarnation is the sender's.
RulesRequestMessage toMessage(const RulesRequest &request, const RulesDigest &digest,
                              const std::string &incarnation);
RulesAnswerMessage toMessage(const RulesAnswer &answer, const std::string &incarnation);
/// Converts from the encoded form.
RulesDigest fromMessage(const RulesDigestMessage &message);
RulesRequest fromMessage(const RulesRequestMessage &message);

/// Errors: MalformedReply if the head cannot be decoded.
Result<RulesAnswer> fromMessage(const RulesAnswerMessage &message);

} // namespace qz
