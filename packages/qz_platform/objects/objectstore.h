// The platform's object store, as the other packages see it.
#pragma once

#include "qz_core/errors/error.h"

#include <functional>
#include <string>

namespace qz {

/// Immutable objects by name. A name is never written with two contents: callers use the
/// hash of the content. Errors as for Table; NotFound if no such object is known.
class ObjectStore
{
public:
    using GetDone = std::function<void(Result<std::string>)>;
    using PutDone = std::function<void(Result<void>)>;

    ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;
    virtual ~ObjectStore() = default;

    virtual void get(const std::string &name, GetDone done) = 0;

    /// Idempotent: writing the same object again succeeds.
    virtual void put(const std::string &name, std::string content, PutDone done) = 0;
};

} // namespace qz
