// Identifiers as types of their own, so that one kind cannot be passed for another.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace qz {

/// A string identifier of one kind; @p Tag keeps kinds apart.
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string &value() const { return value_; }
    bool isEmpty() const { return value_.empty(); }

    friend bool operator==(const StrongId &a, const StrongId &b) { return a.value_ == b.value_; }
    friend bool operator!=(const StrongId &a, const StrongId &b) { return a.value_ != b.value_; }
    friend bool operator<(const StrongId &a, const StrongId &b) { return a.value_ < b.value_; }

private:
    std::string value_;
};

using InstanceId = StrongId<struct InstanceIdTag>; ///< One entry instance, for its life.
using BackendServerId = StrongId<struct BackendServerIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using FailureDomainId = StrongId<struct FailureDomainIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/// The version of a rule set: 0 before the first one, and rising by one with each change.
using RulesVersion = unsigned long long;

/// Where an instance or backend server stands.
struct Location
{
    RegionId region_;
    FailureDomainId failureDomain_;
};

/// A TCP address by IP number.
struct Endpoint
{
    std::string host_;
    std::uint16_t port_ = 0;

    friend bool operator==(const Endpoint &a, const Endpoint &b)
    {
        return std::tie(a.host_, a.port_) == std::tie(b.host_, b.port_);
    }
    friend bool operator!=(const Endpoint &a, const Endpoint &b) { return !(a == b); }
    friend bool operator<(const Endpoint &a, const Endpoint &b)
    {
        return std::tie(a.host_, a.port_) < std::tie(b.host_, b.port_);
    }
};

/// "host:port", for logs and state dumps.
inline std::string toString(const Endpoint &endpoint)
{
    return endpoint.host_ + ":" + std::to_string(endpoint.port_);
}

} // namespace qz

template<typename Tag>
struct std::hash<qz::StrongId<Tag>>
{
    std::size_t operator()(const qz::StrongId<Tag> &id) const
    {
        return std::hash<std::string>{}(id.value());
    }
};
