// The filter chain that parses a caller's HTTP request into an EntryRequest.
//
// Each filter does one step and either passes the context on or fails the request. In order, the
// filters determine the route, authenticate the caller, parse the body and read the headers that
// control execution. EntryCore and EntryService then admit, route, dispatch and relay the request.
#pragma once

#include "decision/dispatch/entrycore.h"
#include "entry/agentlink.h"
#include "net/httpserver.h"
#include "seamarch/configdocument.h"
#include "seamarch/outcome.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace seamarch {

// The reason for which a filter failed a request.
struct FilterFailure
{
    FailureCode code = FailureCode::BadRequest;
    std::string detail; // For the caller: the expected and the found value; may be empty.
};

// The API that a caller's request addresses.
enum class CallerRoute { Completion, Models, Service, Ticket };

// A request with the results of the filters that have run so far.
struct CallerContext
{
    const HttpRequest &http;
    CallerRoute route = CallerRoute::Completion;
    const AccountConfig *account = nullptr; // Owned by the ConfigIndex.
    EntryRequest request;
    CallPayload payload;
    bool streamed = false;    // The caller asked for an event stream.
    std::string requestClass; // The priority as a metric label: "p0", "p1" and so on.
};

// A copy of the configuration, indexed by bearer key, model name and service name.
class ConfigIndex
{
public:
    // Replaces the configuration. Pointers returned before become invalid.
    void applyConfig(const ConfigDocument &document);

    // The lookups return null if there is no match.
    const AccountConfig *accountForKey(const std::string &bearerKey) const;
    const ModelConfig *model(const TargetName &name) const;
    const ServiceConfig *service(const TargetName &name) const;
    const std::vector<ModelConfig> &models() const { return document_.models; }

private:
    ConfigDocument document_;
    std::unordered_map<std::string, std::size_t> accountByDigest_;
    std::unordered_map<TargetName, std::size_t> modelByName_;
    std::unordered_map<TargetName, std::size_t> serviceByName_;
};

// One step of the filter chain.
class RequestFilter
{
public:
    virtual ~RequestFilter() = default;
    // Processes the request. Returns a failure if the request must be refused, else nullopt.
    virtual std::optional<FilterFailure> apply(CallerContext &context) const = 0;
};

// Returns the filters in the order in which they must run. `configIndex` must outlive them.
std::vector<std::unique_ptr<RequestFilter>> makeCallerFilters(const ConfigIndex &configIndex);

} // namespace seamarch
