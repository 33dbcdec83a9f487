// Header fields.
#include "qz_http/messages/httpmessages.h"

#include <boost/algorithm/string/split.hpp>

#include <strings.h>

#include <algorithm>
#include <array>
#include <utility>

namespace qz {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names{ "Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "Proxy-Connection",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade" };
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view known) { return equalsIgnoringCase(known, name); });
}

void removeFieldsOfConnection(HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const HttpHeader &header : headers.all()) {
        if (equalsIgnoringCase(header.name_, "Connection")) {
            std::vector<std::string> listed;
            boost::split(listed, header.value_,
                         [](char c) { return c == ',' || c == ' ' || c == '\t'; });
            names.insert(names.end(), listed.begin(), listed.end());
        }
    }
    for (const std::string &name : names) {
        headers.remove(name);
    }
}

void HttpHeaders::add(std::string name, std::string value)
{
    headers_.push_back({ std::move(name), std::move(value) });
}

void HttpHeaders::set(const std::string &name, std::string value)
{
    remove(name);
    add(name, std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    const auto isNamed = [name](const HttpHeader &header) {
        return equalsIgnoringCase(header.name_, name);
    };
    headers_.erase(std::remove_if(headers_.begin(), headers_.end(), isNamed), headers_.end());
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader &header : headers_) {
        if (equalsIgnoringCase(header.name_, name)) {
            return header.value_;
        }
    }
    return std::nullopt;
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(
            std::count_if(headers_.begin(), headers_.end(), [name](const HttpHeader &header) {
                return equalsIgnoringCase(header.name_, name);
            }));
}

} // namespace qz
