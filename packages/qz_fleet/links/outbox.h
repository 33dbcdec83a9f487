// Messages that wait for a link.
#pragma once

#include "qz_fleet/links/framedecoder.h"

#include <deque>
#include <utility>

namespace qz {

/// A queue of messages to one peer, bounded by its bytes.
/// @see PeerLinks
class Outbox
{
public:
    explicit Outbox(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// False, and nothing is kept, if the bound would be passed.
    bool put(MessageKind kind, std::string payload)
    {
        if (bytes_ + payload.size() > maxBytes_) {
            return false;
        }
        bytes_ += payload.size();
        frames_.push_back(Frame{ kind, std::move(payload) });
        return true;
    }

    std::deque<Frame> takeAll()
    {
        bytes_ = 0;
        return std::exchange(frames_, {});
    }

    bool isEmpty() const { return frames_.empty(); }
    std::size_t bytes() const { return bytes_; }

private:
    std::size_t maxBytes_;
    std::deque<Frame> frames_;
    std::size_t bytes_ = 0; ///< The sum of the payloads in frames_, at most maxBytes_.
};

} // namespace qz
