// Non-blocking writes of whole lines.
#include "qz_core/logging/lineoutput.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace qz {

LineOutput::LineOutput(int descriptor)
    : descriptor_(descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void LineOutput::write(const std::string &line)
{
    if (!flush()) {
        ++dropped_;
        return;
    }
    rest_ = line + "\n";
    const std::size_t whole = rest_.size();
    flush();
    // Nothing of it was taken, because the reader is slow or gone: there is nothing to finish.
    if (rest_.size() == whole) {
        rest_.clear();
        ++dropped_;
    }
}

bool LineOutput::flush()
{
    while (!rest_.empty()) {
        const ssize_t written = ::write(descriptor_, rest_.data(), rest_.size());
        if (written <= 0) {
            return false;
        }
        rest_.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

std::uint64_t LineOutput::takeDropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace qz
