// Planning of configuration changes: an operator's intent becomes a plan, and a confirmed plan
// becomes the document to publish.
//
// A plan holds the complete next document, a list of its changes, their estimated cost, and a
// digest that the operator repeats to confirm exactly this plan. The functions are pure: they
// neither publish nor write anything. The operator publishes the document through the platform.
#pragma once

#include "config/objectreader.h"
#include "seamarch/configdocument.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace seamarch {

// Sets the share of a client account, and creates the account if it does not exist.
struct ShareIntent
{
    AccountId account;
    double share = 1.0;
};

// Drains a hall, so that no upstream of it is chosen for requests, or ends the drain.
struct DrainHallIntent
{
    HallId hall;
    bool draining = true;
};

// Drains one upstream, so that it is not chosen for requests, or ends the drain.
struct DrainInstanceIntent
{
    InstanceId agent; // The agent in front of the upstream.
    bool draining = true;
};

// Sets the version of a model.
struct ModelVersionIntent
{
    TargetName model;
    std::string version;
};

using ConfigIntent =
    std::variant<ShareIntent, DrainHallIntent, DrainInstanceIntent, ModelVersionIntent>;

// The estimated cost of carrying out a change.
struct PlanCost
{
    double movedGigabytes = 0.0;     // Weights that the replicas load.
    double weightStoreSeconds = 0.0; // Time to read these weights from the weight store.
    double capacityLostPart = 0.0;   // Largest fraction of serving replicas lost at a time, 0 to 1.
    std::uint32_t replicas = 0;      // Replicas that are drained or reloaded.
    std::uint32_t rounds = 0; // Sequential reloads, which keep the minimum of serving replicas.
};

// A proposed configuration change.
struct ConfigPlan
{
    std::uint64_t baseVersion = 0;
    std::uint64_t baseDigest = 0;     // Digest of the document that the plan is based on.
    nlohmann::json document;          // The next document, with its new version and base.
    std::vector<std::string> changes; // One description per change, for the operator.
    PlanCost cost;
    std::uint64_t digest = 0; // Digest of `document`.
};

// The reason why a plan or its document is refused.
struct PlanError
{
    enum class Kind {
        UnknownName, // The intent names an object that the configuration does not contain.
        NoChange,    // The configuration already has the requested value.
        Invalid,     // The base, the resulting document or the plan file is invalid.
        BaseChanged, // The current configuration differs from the base of the plan.
        WrongDigest, // The confirmed digest is not the digest of this plan.
    };

    Kind kind;
    std::string message;
};

// Makes a plan that applies `intent` to `base`. The cost is estimated from the running replicas in
// `instances`; without the list, costs that depend on their number are zero.
tl::expected<ConfigPlan, PlanError> makePlan(const nlohmann::json &base, const ConfigIntent &intent,
                                             const std::optional<InstanceList> &instances);

// Checks `digest` and the base of the plan against the current document. Returns the document to
// publish.
tl::expected<nlohmann::json, PlanError> confirmPlan(const ConfigPlan &plan, std::uint64_t digest,
                                                    const nlohmann::json &current);

// Returns the faults of a transition between two documents that are each valid on their own, such
// as a changed home hall.
ConfigFaults transitionFaults(const ConfigDocument &from, const ConfigDocument &to);

// Converts a plan to the JSON of a plan file.
nlohmann::json planToJson(const ConfigPlan &plan);
// Reads the JSON of a plan file. Leaves `changes` and `cost` empty, since they only inform the
// operator.
tl::expected<ConfigPlan, PlanError> planFromJson(const nlohmann::json &value);

// Formats a digest as 16 lower-case hexadecimal digits.
std::string formatDigest(std::uint64_t digest);
// Parses 16 hexadecimal digits. Returns nullopt for any other text.
std::optional<std::uint64_t> parseDigest(std::string_view text);

} // namespace seamarch
