// Returns the configured names of the admission policies.
#include "qz_admission/policies/admissionpolicy.h"

namespace qz {

std::string_view nameOf(const AdmissionPolicy &policy)
{
    return std::visit([](const auto &alternative) { return alternative.name(); }, policy);
}

} // namespace qz
