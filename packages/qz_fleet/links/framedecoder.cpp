// Coding of frames by msgpack.
#include "qz_fleet/links/framedecoder.h"

#include "qz_fleet/messages/packing.h"

#include <cassert>
#include <limits>

namespace qz {

namespace {

constexpr std::size_t frameMembers = 3;
constexpr int bitsPerByte = 8;

void writeLength(std::string &bytes, std::size_t length)
{
    for (std::size_t i = 0; i < frameLengthBytes; ++i) {
        const std::size_t shift = (frameLengthBytes - 1 - i) * bitsPerByte;
        bytes[i] = static_cast<char>((length >> shift) & 0xffU);
    }
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameLengthBytes; ++i) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

Result<Frame> readFrame(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != frameMembers) {
        return failure(ErrorKind::FrameMalformed, "not an array of version, kind and payload");
    }
    const msgpack::object *members = object.via.array.ptr;
    if (members[0].as<std::uint64_t>() != linkProtocolVersion) {
        return failure(ErrorKind::FrameUnknown, "protocol version is not spoken");
    }
    const auto kind = messageKindFromValue(members[1].as<std::uint64_t>());
    if (!kind) {
        return failure(ErrorKind::FrameUnknown, "unknown message kind");
    }
    if (members[2].type != msgpack::type::BIN) {
        return failure(ErrorKind::FrameMalformed, "the payload is not binary");
    }
    return Frame{ *kind, std::string(members[2].via.bin.ptr, members[2].via.bin.size) };
}

Result<Frame> decodeBody(std::string_view body)
{
    try {
        const msgpack::object_handle handle = detail::unpackObject(body);
        return readFrame(handle.get());
    } catch (const std::exception &error) {
        return failure(ErrorKind::FrameMalformed, error.what());
    }
}

} // namespace

std::string encodeFrame(MessageKind kind, std::string_view payload)
{
    assert(payload.size() < std::numeric_limits<std::uint32_t>::max() - frameOverheadBytes);
    msgpack::sbuffer buffer(payload.size() + frameLengthBytes + frameOverheadBytes);
    buffer.write("\0\0\0\0", frameLengthBytes);
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(frameMembers);
    packer.pack(linkProtocolVersion);
    packer.pack(static_cast<std::uint16_t>(kind));
    packer.pack_bin(static_cast<std::uint32_t>(payload.size()));
    packer.pack_bin_body(payload.data(), static_cast<std::uint32_t>(payload.size()));
    std::string bytes(buffer.data(), buffer.size());
    writeLength(bytes, bytes.size() - frameLengthBytes);
    return bytes;
}

FrameDecoder::FrameDecoder(std::size_t maxFrameBytes)
    : maxFrameBytes_(maxFrameBytes)
{
}

void FrameDecoder::feed(std::string_view bytes)
{
    if (!error_) {
        dropConsumed();
        buffer_.append(bytes);
    }
}

Result<std::optional<Frame>> FrameDecoder::next()
{
    if (error_) {
        return *error_;
    }
    auto frame = decodeNext();
    if (frame.has_error()) {
        error_ = frame.error();
        buffer_.clear();
        consumed_ = 0;
    }
    return frame;
}

Result<std::optional<Frame>> FrameDecoder::decodeNext()
{
    const std::string_view rest = std::string_view(buffer_).substr(consumed_);
    if (rest.size() < frameLengthBytes) {
        return std::optional<Frame>();
    }
    const std::size_t length = readLength(rest);
    if (length > maxFrameBytes_) {
        return failure(ErrorKind::FrameTooLong,
                       "a frame of " + std::to_string(length) + " bytes, with a limit of "
                               + std::to_string(maxFrameBytes_));
    }
    if (rest.size() - frameLengthBytes < length) {
        return std::optional<Frame>();
    }
    BOOST_OUTCOME_TRY(frame, decodeBody(rest.substr(frameLengthBytes, length)));
    consumed_ += frameLengthBytes + length;
    return std::optional<Frame>(std::move(frame));
}

void FrameDecoder::dropConsumed()
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
}

} // namespace qz
