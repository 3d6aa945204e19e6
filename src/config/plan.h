// Turns an operator's intent into a plan, and a confirmed plan into the document to publish.
//
// A plan holds the whole next document, what it changes, what the change costs, and a digest that
// the operator repeats to confirm exactly this plan. Nothing here is published or written anywhere:
// the operator publishes the document through the platform.
//
// Pure functions.
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

// Give a client account a share; the account is created if it is new.
struct ShareIntent
{
    AccountId account;
    double share = 1.0;
};

// Take a hall out of the choice, or bring it back.
struct DrainHallIntent
{
    HallId hall;
    bool draining = true;
};

// Take one upstream out of the choice, or bring it back.
struct DrainInstanceIntent
{
    InstanceId agent;
    bool draining = true;
};

// Bring a model to a version.
struct ModelVersionIntent
{
    TargetName model;
    std::string version;
};

using Intent = std::variant<ShareIntent, DrainHallIntent, DrainInstanceIntent, ModelVersionIntent>;

// What a change costs while it is carried out.
struct PlanCost
{
    double movedGigabytes = 0.0;
    double weightStoreSeconds = 0.0;
    double capacityLostPart = 0.0; // Of the serving replicas, at the worst moment.
    std::uint32_t replicas = 0;    // That are taken out or reloaded.
    std::uint32_t rounds = 0;      // Of turns, so that the floor on serving replicas holds.
};

struct Plan
{
    std::uint64_t baseVersion = 0;
    std::uint64_t baseDigest = 0;
    nlohmann::json document;          // The next document, with its version and base.
    std::vector<std::string> changes; // One sentence each.
    PlanCost cost;
    std::uint64_t digest = 0; // Of the next document.
};

// Why there is no plan, or no document.
struct PlanError
{
    enum class Kind {
        UnknownName, // The intent names something that the configuration does not have.
        NoChange,    // The configuration says so already.
        Invalid,     // The base or the result is not valid.
        BaseChanged, // The configuration is no longer the one that the plan was made on.
        WrongDigest, // The digest is not this plan's.
    };

    Kind kind;
    std::string message;
};

// Makes a plan on `base`. `instances` tells what runs; without it the cost is left at zero.
tl::expected<Plan, PlanError> makePlan(const nlohmann::json &base, const Intent &intent,
                                       const std::optional<InstanceList> &instances);

// Re-checks a plan against the current document and returns the document to publish.
tl::expected<nlohmann::json, PlanError> confirmPlan(const Plan &plan, std::uint64_t digest,
                                                    const nlohmann::json &current);

// Returns what forbids going from one valid document to another, although both are valid alone.
ConfigFaults transitionFaults(const ConfigDocument &from, const ConfigDocument &to);

nlohmann::json planToJson(const Plan &plan);
tl::expected<Plan, PlanError> planFromJson(const nlohmann::json &value);

// Writes and reads digests as 16 hexadecimal digits.
std::string formatDigest(std::uint64_t digest);
std::optional<std::uint64_t> parseDigest(std::string_view text);

} // namespace seamarch
