// Collecting problems.
#include "qz_rules/model/problemlist.h"

#include <utility>

namespace qz {

void ProblemList::add(std::string field, std::string message)
{
    ++count_;
    if (lines_.size() < shownLimit) {
        lines_.push_back(std::move(field) + ": " + std::move(message));
    }
}

std::string ProblemList::text() const
{
    std::string text;
    for (const std::string &line : lines_) {
        text += text.empty() ? "" : "\n";
        text += line;
    }
    if (count_ > lines_.size()) {
        text += "\nrules: " + std::to_string(count_ - lines_.size()) + " more problems";
    }
    return text;
}

} // namespace qz
