// The routing configuration of a gateway: routes, client accounts and services, which the operators
// publish in one versioned document.
//
// A RoutingDocument is plain data and is validated by its reader. A RouteTable indexes one document
// and looks up the route of a request, the account of a key and the settings of a service. It
// performs no I/O and is immutable.
#pragma once

#include "decision/gateway/requestrate.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace seamarch {

// One of the services among which a route distributes its requests by weight.
struct RouteTarget
{
    TargetName service;
    std::uint32_t weight = 1;
};

// The settings of the requests under one host and path prefix.
struct RouteRule
{
    std::string name;
    std::string host;
    std::string pathPrefix; // Starts and ends with a slash.
    std::vector<RouteTarget> targets;
    bool repeatable = false;      // A request may be executed more than once.
    bool streamed = false;        // Answers are event streams.
    bool resumable = false;       // A broken stream may be resumed at another upstream.
    bool allowsAnonymous = false; // Requests need no key.
    Duration timeout{};           // Maximum total time of a request.
    Duration latencyTarget{};     // Time to the answer, or to the first event.
    Duration gapTarget{};         // Time between two events; zero: not set.
    // Callers abandon a stream that sends nothing for this long.
    Duration silenceTimeout = std::chrono::seconds(2);
    std::uint8_t priority = 5; // From 0 (most urgent) to 9 (least urgent).
    std::uint32_t maxAttempts = 1;
    std::vector<RegionId> regions; // Where requests may be served; empty: everywhere.
};

// A client account and its keys.
struct AccountRule
{
    AccountId id;
    std::vector<std::string> keys;
    std::optional<std::uint8_t> priority; // Overrides that of the route.
    std::vector<RegionId> regions;        // Applies in addition to that of the route.
};

// The bounds on the placement of the experts of a service's model on the ranks of a group.
struct ExpertRule
{
    std::uint32_t sets = 0;          // Number of layer sets; layers of a set share one placement.
    std::uint32_t experts = 0;       // Number of experts in each set.
    std::uint32_t maxPerRank = 0;    // Maximum experts of a set on one rank.
    std::uint32_t maxNewPerRank = 0; // Maximum of those that one change may add to a rank.
    Duration copyTime{};             // Time in which a rank copies one expert.
    double expertShare = 1.0;        // Share of the experts in the work for tokens.
};

// The settings of a service.
struct ServiceRule
{
    TargetName name;
    std::uint32_t maxConnections = 0; // To one upstream, from all gateways; zero: no limit.
    bool runsEngines = false;         // Its upstreams are model engines.
    Duration warmUp{};                // Warm-up time of an upstream after its start.
    RequestRate warmUpRate;           // Maximum rate during warm-up; zero: no limit.
    std::optional<ExpertRule> experts;
};

// Limits on the size of callers' requests and on the time to send them.
struct CallerBounds
{
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

// One version of the routing configuration.
struct RoutingDocument
{
    ConfigVersion version;
    std::vector<RouteRule> routes;
    std::vector<AccountRule> accounts;
    std::vector<ServiceRule> services;
    CallerBounds bounds;
    std::string source; // The original text, which gateways forward to each other.
};

// Returns the smallest gap target of the routes to `service`, or zero if none of them sets one.
Duration shortestGapTarget(const RoutingDocument &document, const TargetName &service);

// An immutable index of a RoutingDocument. Returned pointers are valid for its lifetime.
class RouteTable
{
public:
    explicit RouteTable(RoutingDocument document);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    ConfigVersion version() const { return document_.version; }
    const std::string &source() const { return document_.source; }
    const CallerBounds &bounds() const { return document_.bounds; }
    // Returns whether any account is configured; without accounts no request needs a key.
    bool hasAccounts() const { return !document_.accounts.empty(); }

    // Returns the route of `host` with the longest prefix of `path`, or nullptr if there is none.
    // Ignores the case and the port of `host`.
    const RouteRule *match(std::string_view host, std::string_view path) const;
    // Returns the account of `key`, or nullptr if the key is unknown.
    const AccountRule *accountOf(const std::string &key) const;
    // Returns the settings of service `name`, or nullptr if it is not configured.
    const ServiceRule *service(const TargetName &name) const;
    const std::vector<ServiceRule> &services() const { return document_.services; }

private:
    RoutingDocument document_;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_; // Longest path prefix first.
    std::unordered_map<std::string, std::size_t> byKey_;
    std::unordered_map<TargetName, std::size_t> byService_;
};

} // namespace seamarch
