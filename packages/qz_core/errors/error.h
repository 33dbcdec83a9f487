// Errors as values: an Error names its kind from the closed list and says in plain words
// what happened; a Result holds a value or an Error.
#pragma once

#include "qz_core/errors/errorkind.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace qz {

/// A run-time failure: its kind decides what is done, its message is for people and logs.
struct Error
{
    ErrorKind kind_ = ErrorKind::Internal;
    std::string message_;
};

template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// For returning a failure: `return failure(ErrorKind::NotFound, "no such row");`
inline Error failure(ErrorKind kind, std::string message)
{
    return Error{ kind, std::move(message) };
}

using boost::outcome_v2::success;

} // namespace qz
