// msgpack adaptors of the core's identifiers, places and durations.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <msgpack.hpp>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    /// An identifier travels as its string.
    template<typename Tag>
    struct convert<qz::StrongId<Tag>>
    {
        const msgpack::object &operator()(const msgpack::object &object,
                                          qz::StrongId<Tag> &id) const
        {
            id = qz::StrongId<Tag>(object.as<std::string>());
            return object;
        }
    };

    template<typename Tag>
    struct pack<qz::StrongId<Tag>>
    {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &packer,
                                            const qz::StrongId<Tag> &id) const
        {
            return packer.pack(id.value());
        }
    };

    /// An endpoint travels as [host, port].
    template<>
    struct convert<qz::Endpoint>
    {
        const msgpack::object &operator()(const msgpack::object &object,
                                          qz::Endpoint &endpoint) const
        {
            const auto parts = object.as<std::tuple<std::string, std::uint16_t>>();
            endpoint = qz::Endpoint{ std::get<0>(parts), std::get<1>(parts) };
            return object;
        }
    };

    template<>
    struct pack<qz::Endpoint>
    {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &packer,
                                            const qz::Endpoint &endpoint) const
        {
            packer.pack_array(2);
            packer.pack(endpoint.host_);
            return packer.pack(endpoint.port_);
        }
    };

    /// A location travels as [region, failure domain].
    template<>
    struct convert<qz::Location>
    {
        const msgpack::object &operator()(const msgpack::object &object,
                                          qz::Location &location) const
        {
            const auto parts = object.as<std::tuple<std::string, std::string>>();
            location.region_ = qz::RegionId(std::get<0>(parts));
            location.failureDomain_ = qz::FailureDomainId(std::get<1>(parts));
            return object;
        }
    };

    template<>
    struct pack<qz::Location>
    {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &packer,
                                            const qz::Location &location) const
        {
            packer.pack_array(2);
            packer.pack(location.region_.value());
            return packer.pack(location.failureDomain_.value());
        }
    };

    /// A duration travels as whole nanoseconds.
    template<>
    struct convert<qz::Duration>
    {
        const msgpack::object &operator()(const msgpack::object &object,
                                          qz::Duration &duration) const
        {
            duration = qz::Duration(object.as<qz::Duration::rep>());
            return object;
        }
    };

    template<>
    struct pack<qz::Duration>
    {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &packer,
                                            const qz::Duration &duration) const
        {
            return packer.pack(duration.count());
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
