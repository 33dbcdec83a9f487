// What is wrong with a document, all of it together.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// Collects problems as pairs of field and message, up to a limit for the text.
class ProblemList
{
public:
    static constexpr std::size_t shownLimit = 200; ///< Lines in text().

    void add(std::string field, std::string message);

    bool isEmpty() const { return count_ == 0; }
    std::size_t count() const { return count_; }

    /// One line "field: message" for each problem; the last line counts those left out.
    std::string text() const;

private:
    std::vector<std::string> lines_;
    std::size_t count_ = 0;
};

} // namespace qz
