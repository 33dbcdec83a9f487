// Fingerprints of requests by the 128-bit hash of xxhash.
#include "qz_core/hashing/requestfingerprint.h"

#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace qz {

namespace {

XXH3_state_t *toState(void *state)
{
    return static_cast<XXH3_state_t *>(state);
}

} // namespace

std::string toString(const RequestFingerprint &fingerprint)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, fingerprint.high_,
                  fingerprint.low_);
    return text.data();
}

RequestHasher::RequestHasher(std::uint64_t seed)
    : state_(XXH3_createState())
{
    XXH3_128bits_reset_withSeed(toState(state_.get()), seed);
}

void RequestHasher::StateDeleter::operator()(void *state) const
{
    XXH3_freeState(toState(state));
}

void RequestHasher::addHeadPart(std::string_view part)
{
    // The size keeps "ab", "c" and "a", "bc" apart.
    const std::string size = std::to_string(part.size()) + ":";
    addBody(size);
    addBody(part);
}

void RequestHasher::addBody(std::string_view data)
{
    XXH3_128bits_update(toState(state_.get()), data.data(), data.size());
}

RequestFingerprint RequestHasher::result() const
{
    const XXH128_hash_t hash = XXH3_128bits_digest(toState(state_.get()));
    return { hash.high64, hash.low64 };
}

} // namespace qz
