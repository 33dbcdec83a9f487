// Messages to bytes and back by msgpack, without an exception outside.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>
#include <string>
#include <string_view>

namespace qz {

/// Limits on what a received message may make us allocate.
constexpr std::size_t maxMessageElements = 65536; ///< Elements of one array or map.
constexpr std::size_t maxMessageDepth = 16;       ///< Arrays within arrays.

/// Packs @p message, a plain struct with MSGPACK_DEFINE.
template<typename T>
std::string packMessage(const T &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return std::string(buffer.data(), buffer.size());
}

namespace detail {

/// Reads the one msgpack object that @p bytes hold. Strings refer to @p bytes.
/// Throws on malformed or trailing bytes; only for unpackMessage().
inline msgpack::object_handle unpackObject(std::string_view bytes)
{
    // An element takes a byte at least: no array is allocated beyond what was sent.
    const std::size_t elements = std::min(maxMessageElements, bytes.size());
    const msgpack::unpack_limit limit(elements, elements, bytes.size(), bytes.size(), bytes.size(),
                                      maxMessageDepth);
    const auto refer = [](msgpack::type::object_type, std::size_t, void *) { return true; };
    std::size_t offset = 0;
    auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, refer, nullptr, limit);
    if (offset != bytes.size()) {
        throw msgpack::parse_error("trailing bytes");
    }
    return handle;
}

/// The number of members that T packs.
template<typename T>
std::size_t memberCount()
{
    static const std::size_t count = [] {
        const std::string packed = packMessage(T{});
        return static_cast<std::size_t>(unpackObject(packed).get().via.array.size);
    }();
    return count;
}

} // namespace detail

/// Unpacks a message packed by packMessage(). Fails with FrameMalformed if @p bytes hold
/// anything else, a different number of members or trailing bytes.
template<typename T>
Result<T> unpackMessage(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = detail::unpackObject(bytes);
        const msgpack::object &object = handle.get();
        if (object.type != msgpack::type::ARRAY
            || object.via.array.size != detail::memberCount<T>()) {
            return failure(ErrorKind::FrameMalformed, "the message has other members");
        }
        return object.as<T>();
    } catch (const std::exception &error) {
        return failure(ErrorKind::FrameMalformed, error.what());
    }
}

} // namespace qz
