// Requests and answers as plain values.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// Returns whether @p status is one of HTTP. Servers in trouble send others, such as 000.
constexpr bool isStatus(int status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return status >= first && status <= last;
}

struct HttpHeader
{
    std::string name_;
    std::string value_;
};

/// Header fields in their order. Names compare without regard to case.
class HttpHeaders
{
public:
    void add(std::string name, std::string value);

    /// Replaces all fields of this name by one.
    void set(const std::string &name, std::string value);

    void remove(std::string_view name);

    /// The first field of this name.
    std::optional<std::string> find(std::string_view name) const;

    std::size_t count(std::string_view name) const;

    const std::vector<HttpHeader> &all() const { return headers_; }

private:
    std::vector<HttpHeader> headers_;
};

/// Whether two header names, or tokens such as "chunked", are the same.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// Whether a field of this name belongs to one connection and is not passed on by a proxy.
bool isHopByHop(std::string_view name);

/// Removes the fields that the Connection fields of @p headers name: they belong to one connection
/// too (RFC 9110, 7.6.1).
void removeFieldsOfConnection(HttpHeaders &headers);

struct HttpRequest
{
    std::string method_ = "GET";
    std::string target_ = "/"; ///< Path and query, as on the request line.
    HttpHeaders headers_;
    std::string body_;
};

struct HttpResponse
{
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

} // namespace qz
