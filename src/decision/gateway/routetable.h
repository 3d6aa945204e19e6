// Which upstreams a gateway's requests may go to: routes, client accounts and services, as the
// operators publish them in one versioned document.
//
// A RoutingDocument is plain data, valid by construction of its reader. A RouteTable indexes one
// document and answers three questions: which route a request takes, whose key it carries, and what
// is known of a service. Pure; a table never changes.
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

// One of the services that share a route's requests.
struct RouteTarget
{
    TargetName service;
    std::uint32_t weight = 1;
};

// How requests under one host and path prefix are served.
struct RouteRule
{
    std::string name;
    std::string host;
    std::string pathPrefix; // Begins and ends with a slash.
    std::vector<RouteTarget> targets;
    bool repeatable = false;      // A request may run more than once.
    bool streamed = false;        // Answers are streams of events.
    bool resumable = false;       // A broken stream may be taken up at another upstream.
    bool allowsAnonymous = false; // No key is asked for.
    Duration timeout{};           // The longest that a request is held.
    Duration latencyTarget{};     // Until the answer, or the first event.
    Duration gapTarget{};         // Between two events; zero where nothing is said.
    // A caller leaves a stream that says nothing for this long.
    Duration silenceTimeout = std::chrono::seconds(2);
    std::uint8_t priority = 5; // 0 is the most urgent, 9 the least.
    std::uint32_t maxAttempts = 1;
    std::vector<RegionId> regions; // Where its requests may be served; empty: anywhere.
};

// A client account and its keys.
struct AccountRule
{
    AccountId id;
    std::vector<std::string> keys;
    std::optional<std::uint8_t> priority; // Goes before the route's.
    std::vector<RegionId> regions;        // As the route's; both bind.
};

// How the experts of a service's model are spread over the ranks of its groups.
struct ExpertRule
{
    std::uint32_t sets = 0;          // Of layers that share one placement.
    std::uint32_t experts = 0;       // In each set.
    std::uint32_t maxPerRank = 0;    // Experts of a set that a rank holds at most.
    std::uint32_t maxNewPerRank = 0; // Of those, how many may be new to it in one change.
    Duration copyTime{};             // That a rank takes to copy one expert.
    double expertShare = 1.0;        // Of the work for tokens, what experts do.
};

// What is known of a service.
struct ServiceRule
{
    TargetName name;
    std::uint32_t maxConnections = 0; // To one upstream, from all gateways; zero: not bounded.
    bool runsEngines = false;         // Its upstreams are model engines.
    Duration warmUp{};                // That an upstream takes from its start on.
    RequestRate warmUpRate;           // That it bears meanwhile; zero: there is no bound.
    std::optional<ExpertRule> experts;
};

// Bounds on what callers send and how long they take.
struct CallerBounds
{
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

struct RoutingDocument
{
    ConfigVersion version;
    std::vector<RouteRule> routes;
    std::vector<AccountRule> accounts;
    std::vector<ServiceRule> services;
    CallerBounds bounds;
    std::string source; // The text that it was read from: what gateways hand on to each other.
};

// Returns the shortest of the pauses between events that callers of `service` bear; zero when no
// route to it says.
Duration shortestGapTarget(const RoutingDocument &document, const TargetName &service);

class RouteTable
{
public:
    explicit RouteTable(RoutingDocument document);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    ConfigVersion version() const { return document_.version; }
    const std::string &source() const { return document_.source; }
    const CallerBounds &bounds() const { return document_.bounds; }
    // Tells whether keys are asked for at all.
    bool hasAccounts() const { return !document_.accounts.empty(); }

    // Returns the route with the longest prefix of `path` for `host`; nothing when there is none.
    const RouteRule *match(std::string_view host, std::string_view path) const;
    // Returns the account that holds `key`; nothing when none does.
    const AccountRule *accountOf(const std::string &key) const;
    const ServiceRule *service(const TargetName &name) const;
    const std::vector<ServiceRule> &services() const { return document_.services; }

private:
    RoutingDocument document_;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_; // Longest prefix first.
    std::unordered_map<std::string, std::size_t> byKey_;
    std::unordered_map<TargetName, std::size_t> byService_;
};

} // namespace seamarch
