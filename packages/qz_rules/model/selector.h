// Selectors: which labels something must carry to be chosen.
#pragma once

#include "qz_platform/instances/instancelist.h"

namespace qz {

/// A set of labels that must all be present with just these values. Operators choose work
/// and backend servers only by selectors.
/// Invariant: a selector without labels matches everything.
/// @see RuleSet
class Selector
{
public:
    Selector() = default;
    explicit Selector(Labels required)
        : required_(std::move(required))
    {
    }

    /// Whether @p labels holds every required label with its value.
    bool matches(const Labels &labels) const;

    /// Whether everything that @p other matches is matched by this selector too.
    bool covers(const Selector &other) const { return matches(other.required_); }

    const Labels &required() const { return required_; }

private:
    Labels required_;
};

} // namespace qz
