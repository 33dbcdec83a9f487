// What an entry instance and a claim home tell each other.
#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace qz {

/// Asks a claim home to make one conditional write of a claim row.
struct ClaimRequest
{
    std::uint64_t id_ = 0; ///< Chosen by the sender; the answer repeats it.
    std::string rowKey_;
    std::uint64_t expectedVersion_ = 0; ///< 0: only if the row is absent.
    std::string value_;                 ///< JSON text; empty erases the row.

    MSGPACK_DEFINE_ARRAY(id_, rowKey_, expectedVersion_, value_)
};

/// What became of the write.
enum class ClaimWriteResult : std::uint8_t {
    Applied,
    Conflict,    ///< The condition did not hold.
    Unavailable, ///< The write certainly had and will have no effect.
    Undecided,   ///< It may have had, or may yet have, an effect.
};

} // namespace qz

MSGPACK_ADD_ENUM(qz::ClaimWriteResult)

namespace qz {

struct ClaimAnswer
{
    std::uint64_t id_ = 0;
    ClaimWriteResult result_ = ClaimWriteResult::Undecided;

    MSGPACK_DEFINE_ARRAY(id_, result_)
};

} // namespace qz
