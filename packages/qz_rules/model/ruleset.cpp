// Lookups in a rule set.
#include "qz_rules/model/ruleset.h"

#include "qz_rules/model/rulesparser.h"

#include <algorithm>

namespace qz {

namespace {

std::string takeLabel(Labels &labels, const char *name)
{
    auto node = labels.extract(name);
    return node.empty() ? std::string() : std::move(node.mapped());
}

} // namespace

Result<std::shared_ptr<const RuleSet>> RuleSet::parse(std::string_view json)
{
    return RulesParser().parse(json);
}

const WorkKind *RuleSet::classify(const WorkDescription &work) const
{
    const auto labelSet = routes_.find(work.method_, work.path_);
    for (const Candidate &candidate : candidates_[labelSet]) {
        const bool isWorkspace =
                candidate.workspace_.empty() || candidate.workspace_ == work.workspace_.value();
        const bool isMethod = candidate.method_.empty() || candidate.method_ == work.method_;
        if (isWorkspace && isMethod) {
            return &kinds_[candidate.kind_];
        }
    }
    return nullptr;
}

Labels RuleSet::labelsOf(const BackendServerId &server, const Labels &listed) const
{
    Labels labels;
    const auto own = serverLabels_.find(server);
    if (own != serverLabels_.end()) {
        labels = own->second;
    }
    labels.insert(listed.begin(), listed.end()); // Keeps what is there.
    return labels;
}

double RuleSet::workspaceWeight(const WorkspaceId &workspace) const
{
    const auto found = workspaceWeights_.find(workspace);
    return found == workspaceWeights_.end() ? defaultWorkspaceWeight : found->second;
}

double RuleSet::floorOf(const ServiceId &service) const
{
    const auto found = std::lower_bound(
            services_.begin(), services_.end(), service,
            [](const ServiceRules &rules, const ServiceId &id) { return rules.id_ < id; });
    return found == services_.end() || found->id_ != service ? defaultFloor : found->floor_;
}

void RuleSet::indexKinds()
{
    candidates_.resize(routes_.labelSetCount());
    for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
        Labels required = kinds_[kind].selector_.required();
        Candidate candidate{ kind, takeLabel(required, label::workspace),
                             takeLabel(required, label::method) };
        const Selector byRoute(std::move(required));
        for (std::size_t set = 0; set < candidates_.size(); ++set) {
            if (byRoute.matches(routes_.labelSet(set))) {
                candidates_[set].push_back(candidate);
            }
        }
    }
}

} // namespace qz
