// What a gateway must know of the protocol that callers and upstreams speak.
//
// The gateway decides on typed facts; an implementation of this interface reads them from messages
// and writes them into messages. It decides nothing and keeps no state.
#pragma once

#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/upstreamnotice.h"
#include "net/httpreader.h"
#include "net/httpserver.h"
#include "net/httptypes.h"
#include "seamarch/ids.h"
#include "seamarch/outcome.h"
#include "seamarch/units.h"

#include <optional>
#include <string>

namespace seamarch {

// What a caller's request says about itself.
struct RequestMetadata
{
    std::string requestId;            // The caller's own name for this attempt; may be empty.
    std::string host;                 // Without a port.
    std::string key;                  // Of a client account; empty when there is none.
    std::optional<Duration> deadline; // How long the caller waits.
    std::string resumeAfter;          // The last event that the caller has; empty: from the start.
    bool expectsVersion = false;      // Upstreams whose weights have another version refuse it.
};

// What an upstream is told besides the request itself.
struct AttemptMetadata
{
    InstanceId instance; // The instance that is meant; another one refuses.
    AccountId account;   // Empty: none.
    std::optional<std::uint8_t> priority;
    Duration timeLeft{};
    std::string resumeAfter;
};

class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    virtual RequestMetadata readRequest(const HttpRequest &request) const = 0;
    // Returns the headers of the request as an upstream gets it.
    virtual HttpHeaders upstreamHeaders(const HttpRequest &request,
                                        const AttemptMetadata &attempt) const = 0;
    // Tells what the head of an upstream's answer to a request says.
    virtual AnswerKind classifyAnswer(const HttpHead &head,
                                      const RequestMetadata &request) const = 0;
    // Reads what the head of an upstream's answer says about the upstream itself. One that another
    // instance gave at the upstream's address says nothing of it.
    virtual UpstreamNotice readNotice(const HttpHead &head) const = 0;
    // Returns the headers of the gateway's own refusal of a request.
    virtual HttpHeaders refusalHeaders(const std::string &requestId, Outcome outcome,
                                       Duration retryAfter) const = 0;
};

} // namespace seamarch
