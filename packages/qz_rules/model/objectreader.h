// Reads the members of one JSON object and reports every one that is bad, missing or unknown.
#pragma once

#include "qz_platform/instances/instancelist.h"
#include "qz_rules/model/problemlist.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// Where an object stands in the document: an element of one of its lists.
struct ElementPath
{
    std::string_view list_;
    std::size_t index_ = 0;

    /// "kinds[2].rank", or "kinds[2]" for no @p member.
    std::string text(std::string_view member = {}) const;
};

/// A range of numbers, both ends included.
struct NumberRange
{
    double lowest_ = 0.0;
    double highest_ = std::numeric_limits<double>::max();
};

/// Typed access to the members of one object. Each bad member is reported and read as a
/// placeholder, so that one pass finds all problems; finish() reports the unknown ones.
/// Invariant: the object and the problem list outlive the reader.
class ObjectReader
{
public:
    ObjectReader(const nlohmann::json &object, ElementPath path, ProblemList &problems);
    ObjectReader(const ObjectReader &) = delete;
    ObjectReader &operator=(const ObjectReader &) = delete;

    /// A name: 1 to 256 bytes without control characters.
    std::string name(const char *member);
    std::string optionalName(const char *member);
    double number(const char *member, NumberRange range);
    std::optional<double> optionalNumber(const char *member, NumberRange range);
    std::int64_t integer(const char *member, std::int64_t lowest, std::int64_t highest);
    bool boolean(const char *member);
    /// An object of strings.
    Labels labels(const char *member);

    /// Reports members that were never asked for.
    void finish();

    void addProblem(const char *member, std::string message);

private:
    const nlohmann::json *find(const char *member);
    const nlohmann::json *require(const char *member);
    std::string nameOf(const char *member, const nlohmann::json &value);
    double numberOf(const char *member, const nlohmann::json &value, NumberRange range);

    const nlohmann::json &object_;
    ElementPath path_;
    ProblemList &problems_;
    std::vector<std::string_view> asked_;
};

/// Whether @p text is a name as rules documents have it.
bool isName(std::string_view text);

} // namespace qz
