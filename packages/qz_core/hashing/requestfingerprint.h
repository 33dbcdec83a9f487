// Fingerprints by which requests are recognised as the same.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace qz {

/// Identifies the content of a request. Equal content has equal fingerprints at all instances of a
/// fleet. @see RequestHasher
struct RequestFingerprint
{
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    bool operator==(const RequestFingerprint &other) const
    {
        return high_ == other.high_ && low_ == other.low_;
    }
    bool operator<(const RequestFingerprint &other) const
    {
        return std::tie(high_, low_) < std::tie(other.high_, other.low_);
    }
};

/// Returns the 32 hexadecimal digits of @p fingerprint, for logs.
std::string toString(const RequestFingerprint &fingerprint);

/// Computes the fingerprint of a request: of the parts of its head, then of its body, in any
/// division into pieces.
class RequestHasher
{
public:
    /// @p seed is the same at all instances of a fleet and not known to callers, so that a caller
    /// cannot make up a request with the fingerprint of another one.
    explicit RequestHasher(std::uint64_t seed);

    void addHeadPart(std::string_view part);
    void addBody(std::string_view data);

    /// Returns the fingerprint of what was added so far.
    RequestFingerprint result() const;

private:
    struct StateDeleter
    {
        void operator()(void *state) const;
    };
    std::unique_ptr<void, StateDeleter> state_; ///< An XXH3_state_t.
};

} // namespace qz
