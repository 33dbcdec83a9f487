// What operators can ask of one instance about the rules, as values in and out; an HTTP
// server only has to pass them on.
#pragma once

#include "qz_rules/spread/rulesservice.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace qz {

/// PUT /operator/rules.
struct RulesPut
{
    std::optional<std::string> ifMatch_; ///< The header If-Match: a version, quoted or not.
    std::string document_;
    std::string author_;
    std::string attemptToken_; ///< The header Idempotency-Key; empty: one is made.
};

/// An answer with its HTTP status.
struct RulesReply
{
    int status_ = 200;
    std::string body_;                    ///< JSON.
    std::optional<RulesVersion> version_; ///< For the header ETag, in quotes.
};

/// The operators' side of a RulesService, which outlives this.
class RulesOperations
{
public:
    using Done = std::function<void(const RulesReply &)>;

    explicit RulesOperations(RulesService &service)
        : service_(service)
    {
    }
    RulesOperations(const RulesOperations &) = delete;
    RulesOperations &operator=(const RulesOperations &) = delete;

    /// The adopted document. Errors: NotFound before the first version.
    RulesReply get() const;

    /// Publishes; @p done runs when the version is accepted or the attempt has failed.
    void put(RulesPut put, Done done);

    /// Versions, proof and voters of this instance.
    RulesReply status() const;
    /// The same as a value, for state dumps.
    nlohmann::json describe() const;

private:
    RulesService &service_;
};

/// The reply that reports @p error: its status, name, outcome and message.
RulesReply replyTo(const Error &error);

} // namespace qz
