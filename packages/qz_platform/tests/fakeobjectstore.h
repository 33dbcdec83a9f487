// An in-memory object store for tests of any package, with the faults that the platform has.
#pragma once

#include "qz_platform/objects/objectstore.h"

#include <deque>
#include <map>

namespace qz {

/// Calls take effect when they are made and end when deliver() runs, as with FakeTable.
class FakeObjectStore : public ObjectStore
{
public:
    enum class Fault {
        None,
        Down,        ///< Calls end with StoreUnavailable and have no effect.
        LoseAnswers, ///< Calls take effect and end with StoreTimeout.
        LoseCalls,   ///< Calls have no effect and end with StoreTimeout.
    };

    void setFault(Fault fault) { fault_ = fault; }

    void get(const std::string &name, GetDone done) override
    {
        ++getCount_;
        if (fault_ != Fault::None) {
            finish([done = std::move(done), kind = faultKind()] { done(failure(kind, "fault")); });
            return;
        }
        const auto object = objects_.find(name);
        if (object == objects_.end()) {
            finish([done = std::move(done)] { done(failure(ErrorKind::NotFound, "no object")); });
            return;
        }
        finish([done = std::move(done), content = object->second] { done(content); });
    }

    void put(const std::string &name, std::string content, PutDone done) override
    {
        if (fault_ == Fault::None || fault_ == Fault::LoseAnswers) {
            ++putCount_;
            objects_[name] = std::move(content);
        }
        if (fault_ != Fault::None) {
            finish([done = std::move(done), kind = faultKind()] { done(failure(kind, "fault")); });
            return;
        }
        finish([done = std::move(done)] { done(success()); });
    }

    /// Ends all calls made so far, and those made by their completions.
    void deliver()
    {
        while (!pending_.empty()) {
            const auto next = std::move(pending_.front());
            pending_.pop_front();
            next();
        }
    }

    bool hasPending() const { return !pending_.empty(); }
    std::size_t size() const { return objects_.size(); }
    std::size_t getCount() const { return getCount_; }
    std::size_t putCount() const { return putCount_; }

private:
    ErrorKind faultKind() const
    {
        return fault_ == Fault::Down ? ErrorKind::StoreUnavailable : ErrorKind::StoreTimeout;
    }

    void finish(std::function<void()> completion) { pending_.push_back(std::move(completion)); }

    std::map<std::string, std::string> objects_;
    std::deque<std::function<void()>> pending_;
    std::size_t getCount_ = 0;
    std::size_t putCount_ = 0;
    Fault fault_ = Fault::None;
};

} // namespace qz
