// The rule set that an instance works by: ranks, kinds, routes, floors, weights and labels,
// as operators wrote them in one document.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/time/clock.h"
#include "qz_rules/model/routetable.h"
#include "qz_rules/model/selector.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace qz {

/// A class of service.
struct Rank
{
    std::string name_;
    int order_ = 0;      ///< 0 is the most urgent.
    Duration target_{};  ///< Within which an answer is meant to be given.
    double share_ = 0.0; ///< 0..1 of the capacity, kept while other ranks flood.
    double worth_ = 1.0; ///< Of one answered request, unless its kind states another.
};

/// A kind of work: who belongs to it, how it is treated, and who may serve it.
struct WorkKind
{
    std::string name_;
    Selector selector_;    ///< Labels of work: those of its route, "workspace" and "method".
    std::size_t rank_ = 0; ///< Index into RuleSet::ranks().
    Duration deadline_{};
    double worth_ = 1.0;
    bool repeatable_ = false;
    Selector servers_; ///< Labels of the backend servers that may serve it.
};

struct ServiceRules
{
    ServiceId id_;
    double floor_ = 0.0; ///< 0..1 of its backend servers that ejection must leave.
};

/// What is known of a request before it is classified.
struct WorkDescription
{
    std::string_view method_;
    std::string_view path_;
    WorkspaceId workspace_;
};

/// Names of labels with a meaning of their own.
namespace label {
constexpr const char *workspace = "workspace"; ///< On work: who asks.
constexpr const char *method = "method";       ///< On work: the HTTP method.
constexpr const char *service = "service";     ///< On a backend server: what it belongs to.
constexpr const char *drain = "drain";         ///< On a backend server: "true", no new work.
} // namespace label

/// An immutable, valid rule set. Built by parse() alone; shared by pointer, so that work
/// keeps the rules under which it was admitted while a newer set is adopted.
///
/// Invariants: ranks are sorted by order; each kind's rank_ is an index into them; the
/// shares add up to 1 at most.
/// @see RulesKeeper, RulesStore
class RuleSet
{
public:
    static constexpr double defaultWorkspaceWeight = 1.0;
    static constexpr double defaultFloor = 0.5; ///< For a service that no rule names.

    /// Reads a rules document. Errors: InvalidRules, with one line "field: message" for
    /// each problem, or "line 3, column 9: message" for text that is not JSON.
    static Result<std::shared_ptr<const RuleSet>> parse(std::string_view json);

    RuleSet(const RuleSet &) = delete;
    RuleSet &operator=(const RuleSet &) = delete;

    /// Sorted by order, the most urgent first.
    const std::vector<Rank> &ranks() const { return ranks_; }

    /// In the order of the document, which is the order of matching.
    const std::vector<WorkKind> &kinds() const { return kinds_; }

    const std::vector<ServiceRules> &services() const { return services_; }

    /// The first kind whose selector matches the work; nullptr if none does.
    const WorkKind *classify(const WorkDescription &work) const;

    /// The labels of a backend server: the operators' before those of the platform.
    Labels labelsOf(const BackendServerId &server, const Labels &listed) const;

    /// The weight of a workspace in sharing; defaultWorkspaceWeight for one not named.
    double workspaceWeight(const WorkspaceId &workspace) const;

    /// The floor of a service; defaultFloor for one not named.
    double floorOf(const ServiceId &service) const;

    std::size_t routeCount() const { return routes_.size(); }
    std::size_t workspaceCount() const { return workspaceWeights_.size(); }

private:
    friend class RulesParser;

    /// A kind that a label set's work may belong to, with what is left to check.
    struct Candidate
    {
        std::size_t kind_ = 0;
        std::string workspace_; ///< Empty: any.
        std::string method_;    ///< Empty: any.
    };

    RuleSet() = default;
    void indexKinds();

    std::vector<Rank> ranks_;
    std::vector<WorkKind> kinds_;
    std::vector<ServiceRules> services_;
    RouteTable routes_;
    std::vector<std::vector<Candidate>> candidates_; ///< One list for each label set of routes_.
    std::unordered_map<WorkspaceId, double> workspaceWeights_;
    std::unordered_map<BackendServerId, Labels> serverLabels_;
};

} // namespace qz
