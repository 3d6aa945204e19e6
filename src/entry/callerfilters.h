// The filters that turn a caller's HTTP request into a request of the decisions.
//
// Each filter is one class with one job; it passes the context on or fails it. The row is: find the
// route, authenticate, read the body, classify. Admission, routing, dispatch and relay follow in
// EntryCore and EntryService.
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

// Why a filter failed a request.
struct FilterFailure
{
    FailureCode code = FailureCode::BadRequest;
    std::string detail; // What was expected and what was found; may be empty.
};

// What a caller asks for.
enum class CallerRoute { Completion, Models, Service, Ticket };

// What the filters have found out so far.
struct CallerContext
{
    const HttpRequest &http;
    CallerRoute route = CallerRoute::Completion;
    const AccountConfig *account = nullptr;
    EntryRequest request;
    CallPayload payload;
    bool streamed = false;
    std::string requestClass;
};

// The configuration in the form that the filters look things up in.
class ConfigIndex
{
public:
    void applyConfig(const ConfigDocument &document);

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

class RequestFilter
{
public:
    virtual ~RequestFilter() = default;
    virtual std::optional<FilterFailure> apply(CallerContext &context) const = 0;
};

// Returns the row of filters. `directory` outlives them.
std::vector<std::unique_ptr<RequestFilter>> makeCallerFilters(const ConfigIndex &configIndex);

} // namespace seamarch
