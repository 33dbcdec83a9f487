// Limits the retries of a process, so that retries do not multiply the load of a flood.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// The limits of a RetryBudget.
struct RetryTokenLimits
{
    double earnedPerSuccess_ = 0.1; ///< Tokens earned by each successful request.
    double earnedPerSecond_ = 1.0;  ///< Tokens earned per second, also without successes.
    double maxTokens_ = 100.0;      ///< Maximum number of saved tokens.
};

/// Token bucket for retries. Successful requests earn tokens, as does time at a low rate; each
/// retry spends one token. Whether a request may be retried at all depends on the kind of error and
/// on the kind of work, and is decided elsewhere.
/// @see answerOf
class RetryBudget
{
public:
    explicit RetryBudget(RetryTokenLimits limits, TimePoint now);

    /// Adds the tokens that a successful request earns.
    void recordSuccess();

    /// Spends a token for one retry. Returns false if there is none; the retry must not be sent.
    bool tryAcquire(TimePoint now);

    double tokens() const { return tokens_; }

private:
    void add(double tokens);

    RetryTokenLimits limits_;
    double tokens_ = 0.0; ///< 0 to limits_.maxTokens_.
    TimePoint updatedAt_; ///< Time up to which the tokens earned by time are included.
};

} // namespace qz
