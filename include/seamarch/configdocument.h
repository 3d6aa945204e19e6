// The configuration document, which operators publish and every process applies, and the platform's
// instance list.
//
// The document is one JSON object of at most 1 MiB. docs/configuration.md describes its fields, and
// src/config/parse.h parses and validates it. A ConfigDocument is a value and is valid by
// construction, because only the parser makes one from JSON.
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

// A client account with its share of the fleet's capacity and its limits.
struct AccountConfig
{
    AccountId id;
    std::vector<std::string> keyDigests; // SHA-256 of each bearer key, in lower-case hexadecimal.
    double share = 1.0;                  // Weight relative to other backlogged accounts.
    std::uint8_t priority = 0;           // Default priority, 0 to 9; higher runs first.
    std::uint32_t maxQueued = 256;       // Limit of the requests queued at one agent.
    double requestsPerSecond = 0.0;      // Rate limit over all entries; 0 means none.
    HallId homeHall;                     // Hall of its requests with a key; empty: none allowed.
};

// A route of a plain service.
struct RouteConfig
{
    std::string method;
    std::string path;        // Path prefix, relative to the service.
    bool repeatable = false; // Whether requests may be retried after an unknown outcome.
};

// A service that is not a model, with its routes.
struct ServiceConfig
{
    TargetName name;
    std::vector<RouteConfig> routes;
    Duration deadline = std::chrono::seconds(30); // Default deadline of its requests.
};

// A model with its size and its rollout limits.
struct ModelConfig
{
    TargetName name;
    std::string version;
    double weightGigabytes = 0.0;      // Size of the weights of one replica.
    std::uint32_t expertsPerLayer = 0; // Zero for a model without experts.
    std::uint32_t layers = 0;
    std::uint32_t minServing = 1; // Minimum of serving replicas in a hall during a rollout.
    Duration deadline = std::chrono::seconds(120); // Default deadline of its requests.
};

// A data hall with instances of its own.
struct HallConfig
{
    HallId id;
    std::string region;
    bool draining = false;               // Whether its upstreams are excluded from selection.
    std::map<HallId, Duration> distance; // One-way delay to other halls.
};

// Properties of an upstream that the instance list does not contain.
struct UpstreamConfig
{
    InstanceId agent;         // The agent in front of the upstream.
    bool checksFence = false; // Whether it rejects orders with an outdated fence itself.
    std::uint32_t slots = 8;  // Maximum number of requests that it runs concurrently.
    bool draining = false;    // Whether it is excluded from selection.
};

// Weights a (skewWeight) and b (moveWeight) of the objective of expert placement, which is
// a · skew + b · (moved weight + lost capacity).
struct ObjectiveConfig
{
    double skewWeight = 1.0;
    double moveWeight = 1.0;
};

// The complete configuration document.
struct ConfigDocument
{
    ConfigVersion version;
    ConfigVersion base; // The version that this one was planned on: version - 1.
    std::vector<AccountConfig> accounts;
    std::vector<ServiceConfig> services;
    std::vector<ModelConfig> models;
    std::vector<HallConfig> halls;
    std::vector<UpstreamConfig> upstreams;
    ObjectiveConfig objective;
    double weightStoreGigabytesPerSecond = 1.0;
};

// Whether an instance accepts new work: a leaving one does not.
enum class InstanceState { Live, Leaving };

// The role of an instance.
enum class InstanceRole { Entry, Agent };

// An entry or agent in the platform's instance list.
struct InstanceRecord
{
    InstanceId id;
    InstanceRole role = InstanceRole::Agent;
    HallId hall;
    std::string address; // An IPv4 address.
    int port = 0;
    std::vector<TargetName> serves; // For an agent: the models and services of its upstream.
    InstanceState state = InstanceState::Live;
};

// The platform's list of live and leaving instances. It lags behind their actual state.
struct InstanceList
{
    ListVersion version;
    std::vector<InstanceRecord> instances;
};

} // namespace seamarch
