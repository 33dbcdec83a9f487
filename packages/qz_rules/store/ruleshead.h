// The head of the rules: which version is the newest, and who vouches for it.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_rules/store/rulesdocument.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace qz {

/// One life of one instance. An instance that restarts has forgotten what it vouched for
/// and is another voter.
using VoterId = StrongId<struct VoterIdTag>;

/// The position of a head in the order of all heads: the rules version that operators see,
/// and the epoch, which rises when only the voters change.
struct RulesStamp
{
    RulesVersion version_ = 0;
    std::uint64_t epoch_ = 0;

    friend bool operator==(const RulesStamp &a, const RulesStamp &b)
    {
        return std::tie(a.version_, a.epoch_) == std::tie(b.version_, b.epoch_);
    }
    friend bool operator!=(const RulesStamp &a, const RulesStamp &b) { return !(a == b); }
    friend bool operator<(const RulesStamp &a, const RulesStamp &b)
    {
        return std::tie(a.version_, a.epoch_) < std::tie(b.version_, b.epoch_);
    }
    friend bool operator<=(const RulesStamp &a, const RulesStamp &b) { return !(b < a); }
};

/// The row "rules/head".
/// Invariants: the row is only written on condition of its row version, so that heads form
/// one chain; previousVoters_ are the voters_ of the head before in that chain.
/// @see RulesKeeper for what voters are for.
struct RulesHead
{
    RulesStamp stamp_;
    ObjectHash hash_;          ///< Of the document.
    std::string author_;       ///< Who published the version, for people.
    std::string attemptToken_; ///< Names the attempt that published the version.
    std::vector<VoterId> voters_;
    std::vector<VoterId> previousVoters_;

    /// Whether there is a first version yet.
    bool isSet() const { return stamp_.version_ > 0; }
};

/// "version 7, epoch 2", for logs and messages.
std::string toString(const RulesStamp &stamp);

/// The row's JSON text.
std::string encodeHead(const RulesHead &head);

/// Errors: MalformedReply.
Result<RulesHead> decodeHead(const std::string &row);

} // namespace qz
