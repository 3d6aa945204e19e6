// Fuzz target for the two parsers of untrusted input: callers' requests and JSON documents.
//
// Built by `scripts/fuzz` with libFuzzer. The first byte of an input selects the parser for the
// rest.
#include "config/configplan.h"
#include "config/parse.h"
#include "config/versioneddocument.h"
#include "decision/once/ticketissuer.h"
#include "entry/callerfilters.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace {

using namespace seamarch;

// Returns a directory with one client account, one model and one service.
const ConfigIndex &directory()
{
    static const ConfigIndex kDirectory = [] {
        ConfigDocument document;
        AccountConfig account;
        account.id = AccountId("bids");
        account.homeHall = HallId("north");
        // The SHA-256 digest of the key "k".
        account.keyDigests = {"8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"};
        document.accounts.push_back(account);
        ModelConfig model;
        model.name = TargetName("bid");
        document.models.push_back(model);
        ServiceConfig service;
        service.name = TargetName("portal");
        service.routes = {{"POST", "/", false}};
        document.services.push_back(service);
        ConfigIndex result;
        result.applyConfig(document);
        return result;
    }();
    return kDirectory;
}

// Passes a request to the caller filters. The first line of `text` is used for header values, the
// rest is the body.
void fuzzRequest(std::string_view text, const char *path)
{
    static const auto kFilters = makeCallerFilters(directory());
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    const std::size_t lineEnd = text.find('\n');
    const std::string header(text.substr(0, lineEnd));
    request.headers = {{"authorization", "Bearer k"},
                       {"idempotency-key", header},
                       {"seamarch-deadline-ms", header.substr(0, header.size() / 2)}};
    request.body = lineEnd == std::string_view::npos ? "" : std::string(text.substr(lineEnd + 1));
    CallerContext context{request, CallerRoute::Completion, nullptr, {}, {}, false, {}};
    for (const auto &filter : kFilters) {
        if (filter->apply(context)) {
            return;
        }
    }
}

// Reads `text` as each kind of document, and as a patch of a versioned document.
void fuzzDocument(std::string_view text)
{
    const auto value = parseJson(text);
    if (!value) {
        return;
    }
    static_cast<void>(readInstances(*value));
    static_cast<void>(planFromJson(*value));
    const auto config = readConfig(*value);
    if (config) {
        static_cast<void>(makePlan(*value, ShareIntent{AccountId("a"), 2.0}, std::nullopt));
    }
    VersionedDocument versioned;
    versioned.accept(*value);
    versioned.apply({versioned.version(), versioned.version() + 1, 1, std::string(text)});
}

} // namespace

// libFuzzer prescribes this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, // NOLINT
                                      std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0] % 5) {
    case 0:
        fuzzDocument(text);
        break;
    case 1:
        fuzzRequest(text, "/v1/chat/completions");
        break;
    case 2:
        fuzzRequest(text, "/v1/completions");
        break;
    case 3:
        fuzzRequest(text, "/v1/tickets");
        break;
    default:
        static_cast<void>(parseTicket(text));
        fuzzRequest(text, "/services/portal/x");
        break;
    }
    return 0;
}
