// How many retries a process may send, so that failures don't multiply a flood.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// The limits of a RetryBudget.
struct RetryTokenLimits
{
    double earnedPerSuccess_ = 0.1; ///< Retries earned by each successful request.
    double earnedPerSecond_ = 1.0;  ///< Retries earned each second without any success.
    double maxTokens_ = 100.0;      ///< Retries that may be saved up.
};

/// Tokens for retries: earned by successes and slowly by time, spent one for each retry.
/// Whether a retry is allowed at all is decided elsewhere, by error kind and by the kind of work.
/// @see answerOf
class RetryBudget
{
public:
    explicit RetryBudget(RetryTokenLimits limits, TimePoint now);

    /// Counts a request that ended well.
    void recordSuccess();

    /// Takes a token for one retry; false if there is none and the retry must not be sent.
    bool tryAcquire(TimePoint now);

    double tokens() const { return tokens_; }

private:
    void add(double tokens);

    RetryTokenLimits limits_;
    double tokens_ = 0.0; ///< 0 to limits_.maxTokens_.
    TimePoint updatedAt_; ///< The floor is counted up to here.
};

} // namespace qz
