// Names of the policies.
#include "qz_admission/policies/admissionpolicy.h"

namespace qz {

std::string_view nameOf(const AdmissionPolicy &policy)
{
    return std::visit([](const auto &chosen) { return chosen.name(); }, policy);
}

} // namespace qz
