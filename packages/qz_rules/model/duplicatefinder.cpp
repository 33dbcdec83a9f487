// Members given twice.
#include "qz_rules/model/duplicatefinder.h"

#include <algorithm>

namespace qz {

std::string DuplicateFinder::find(std::string_view json)
{
    DuplicateFinder finder;
    nlohmann::json::sax_parse(json, &finder);
    return finder.duplicate_;
}

bool DuplicateFinder::start_object(std::size_t)
{
    if (open_.size() == depth_) {
        open_.emplace_back();
    }
    open_[depth_].clear();
    ++depth_;
    return true;
}

bool DuplicateFinder::key(string_t &name)
{
    auto &members = open_[depth_ - 1];
    if (std::find(members.begin(), members.end(), name) != members.end()) {
        duplicate_ = name;
        return false;
    }
    members.push_back(name);
    return true;
}

bool DuplicateFinder::end_object()
{
    --depth_;
    return true;
}

} // namespace qz
