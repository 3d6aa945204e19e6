// The configuration document: what operators publish and every process has in force.
//
// The document is one JSON object of at most one megabyte. docs/configuration.md describes its
// fields; src/config/parse.h reads and validates it. A ConfigDocument is a value and is valid by
// construction: only the parser makes one from JSON.
//
// This header is public. Its names follow the compatibility promise in docs/reference.md.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace seamarch {

// A client account with its share of the fleet and its limits.
struct AccountConfig
{
    AccountId id;
    std::vector<std::string> keyDigests; // SHA-256 of each bearer key, in lower-case hexadecimal.
    double share = 1.0;                  // Weight against other backlogged accounts.
    std::uint8_t priority = 0;           // Default class of its requests; higher runs first.
    std::uint32_t maxQueued = 256;       // Requests that may wait at one agent.
    double requestsPerSecond = 0.0;      // Over all entries; zero means no limit.
    HallId homeHall;                     // Where its keyed requests run; may be empty.
};

// One route of a plain service.
struct RouteConfig
{
    std::string method;
    std::string path;        // A prefix of the path below the service.
    bool repeatable = false; // Whether a request may be sent again after an unknown outcome.
};

// A plain service.
struct ServiceConfig
{
    TargetName name;
    std::vector<RouteConfig> routes;
    Duration deadline = std::chrono::seconds(30);
};

// A model.
struct ModelConfig
{
    TargetName name;
    std::string version;
    double weightGigabytes = 0.0;
    std::uint32_t expertsPerLayer = 0; // Zero for a model without experts.
    std::uint32_t layers = 0;
    std::uint32_t minServing = 1; // Floor on serving replicas in a hall during a rollout.
    Duration deadline = std::chrono::seconds(120);
};

// A data hall.
struct HallConfig
{
    HallId id;
    std::string region;
    bool draining = false;
    std::map<HallId, Duration> distance; // One-way delay to other halls.
};

// What the system must know of one upstream besides the instance list.
struct UpstreamConfig
{
    InstanceId agent;         // The agent that stands before it.
    bool checksFence = false; // Whether it refuses an order under an old fence by itself.
    std::uint32_t slots = 8;  // Requests that it runs at once.
    bool draining = false;
};

// Weights of the experts' objective: a · skew + b · (moved weight + lost capacity).
struct ObjectiveConfig
{
    double skewWeight = 1.0;
    double moveWeight = 1.0;
};

// The whole document.
struct ConfigDocument
{
    ConfigVersion version;
    ConfigVersion base; // The version that it was planned on.
    std::vector<AccountConfig> accounts;
    std::vector<ServiceConfig> services;
    std::vector<ModelConfig> models;
    std::vector<HallConfig> halls;
    std::vector<UpstreamConfig> upstreams;
    ObjectiveConfig objective;
    double weightStoreGigabytesPerSecond = 1.0;
};

// Whether an instance may get new work.
enum class InstanceState { Live, Leaving };

// What an instance does.
enum class InstanceRole { Entry, Agent };

// One line of the platform's instance list.
struct InstanceRecord
{
    InstanceId id;
    InstanceRole role = InstanceRole::Agent;
    HallId hall;
    std::string address; // An IP number.
    int port = 0;
    std::vector<TargetName> serves; // For an agent: the models and services of its upstream.
    InstanceState state = InstanceState::Live;
};

// The platform's list of live and leaving instances. It lags.
struct InstanceList
{
    ListVersion version;
    std::vector<InstanceRecord> instances;
};

} // namespace seamarch
