// The query of a request target.
#pragma once

#include <map>
#include <string>

namespace qz {

/// Parameters after the "?" of a target, decoded; the last of a name counts.
class QueryString
{
public:
    explicit QueryString(const std::string &target);

    /// The value of @p name; empty if it is missing.
    std::string value(const std::string &name) const;

private:
    std::map<std::string, std::string> values_;
};

} // namespace qz
