// Finds the line on which a field of a document stands.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// The lines, from 1, of those of @p fields that @p json has, by fields such as
/// "kinds[2].rank". A field that the text lacks has the line of what would hold it.
std::map<std::string, std::size_t> locateFields(std::string_view json,
                                                const std::vector<std::string> &fields);

/// The field that a line "field: message" of a list of problems names.
std::string fieldOfProblem(std::string_view problem);

} // namespace qz
