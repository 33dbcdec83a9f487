// Writes lines to a descriptor without ever waiting for it.
#pragma once

#include <cstdint>
#include <string>

namespace qz {

/// A reader that is slow or gone loses lines and delays nobody. A line is never cut: its rest
/// is written before the next one.
class LineOutput
{
public:
    /// Makes @p descriptor non-blocking; it stays open.
    explicit LineOutput(int descriptor);

    /// Writes @p line with its line feed, or drops and counts it.
    void write(const std::string &line);

    /// Lines that were dropped since the last call.
    std::uint64_t takeDropped();

private:
    /// True if nothing waits.
    bool flush();

    const int descriptor_;
    std::string rest_; ///< Of a line that was written in part.
    std::uint64_t dropped_ = 0;
};

} // namespace qz
