// Frames on a peer link: 4 bytes of length (big endian), then the msgpack array
// [protocol version, message kind, payload].
#pragma once

#include "qz_core/errors/error.h"
#include "qz_fleet/messages/messagekind.h"

#include <optional>
#include <string>
#include <string_view>

namespace qz {

constexpr std::uint8_t linkProtocolVersion = 1;
constexpr std::size_t frameLengthBytes = 4;
constexpr std::size_t frameOverheadBytes = 16; ///< Upper bound of what a payload gains.

/// One message as it travels on a link.
struct Frame
{
    MessageKind kind_ = MessageKind::Heartbeat;
    std::string payload_;
};

/// The bytes of @p frame, its length included.
std::string encodeFrame(MessageKind kind, std::string_view payload);

/// Cuts a stream of bytes into frames. Feed what was received, then take frames until there
/// is none. The first error is final: a stream that was once wrong cannot be trusted again.
/// @see PeerLink
class FrameDecoder
{
public:
    /// A frame of more than @p maxFrameBytes, its length not counted, is an error.
    explicit FrameDecoder(std::size_t maxFrameBytes);

    /// Raises or lowers the limit for the frames not yet taken.
    void setMaxFrameBytes(std::size_t maxFrameBytes) { maxFrameBytes_ = maxFrameBytes; }

    void feed(std::string_view bytes);

    /// The next whole frame, or nothing if more bytes are needed. Fails with FrameTooLong,
    /// FrameMalformed or FrameUnknown (kind or protocol version).
    Result<std::optional<Frame>> next();

    /// Bytes of a frame that is not whole yet; other than 0 at the end of a stream means
    /// that its last frame was truncated.
    std::size_t pendingBytes() const { return buffer_.size() - consumed_; }

private:
    Result<std::optional<Frame>> decodeNext();
    void dropConsumed();

    std::size_t maxFrameBytes_;
    std::string buffer_;
    std::size_t consumed_ = 0;   ///< Never more than the size of buffer_.
    std::optional<Error> error_; ///< Once set, every call of next() returns it.
};

} // namespace qz
