// The interface between a gateway and the protocol that callers and upstreams use.
//
// The gateway works on typed values; implementations decode them from messages and encode them into
// messages. They are stateless and make no decisions.
#pragma once

#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/upstreamnotice.h"
#include "net/httpreader.h"
#include "net/httpserver.h"
#include "net/httptypes.h"
#include "net/upstreamprobe.h"
#include "seamarch/ids.h"
#include "seamarch/outcome.h"
#include "seamarch/units.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace seamarch {

// The maximum number of shared prompt parts that are read of one request. Bounds the work and the
// log lines that one caller can cause.
inline constexpr std::size_t kMaxSharedParts = 64;

// Metadata that a caller sends with its request.
struct RequestMetadata
{
    std::string requestId;            // The caller's id of this attempt; may be empty.
    std::string host;                 // Without a port.
    std::string key;                  // The key of a client account; empty if the request has none.
    std::optional<Duration> deadline; // How long the caller waits for the answer.
    // Id of the last event that the caller received; empty to start from the beginning.
    std::string resumeAfter;
    RequestSize size;
    // Ids of the parts of the prompt that other requests may share, without repetitions; at most
    // `kMaxSharedParts`.
    std::vector<std::string> sharedPromptParts;
    bool expectsVersion = false; // Upstreams with other weights refuse the request.
};

// Metadata that the gateway sends to an upstream along with a request.
struct AttemptMetadata
{
    InstanceId instance; // The intended instance; any other refuses the request.
    AccountId account;   // Empty if the request has no account.
    std::optional<std::uint8_t> priority;
    Duration timeLeft{};     // Time that remains for the request.
    std::string resumeAfter; // As in RequestMetadata.
};

class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    virtual RequestMetadata readRequest(const HttpRequest &request) const = 0;
    // Returns the headers of the request that is sent to an upstream.
    virtual HttpHeaders upstreamHeaders(const HttpRequest &request,
                                        const AttemptMetadata &attempt) const = 0;
    // Classifies an upstream's answer by its head.
    virtual AnswerKind classifyAnswer(const HttpHead &head,
                                      const RequestMetadata &request) const = 0;
    // Extracts the notices about the upstream itself from the head of its answer. The notice is
    // empty if another instance answered at the upstream's address.
    virtual UpstreamNotice readNotice(const HttpHead &head) const = 0;
    // Returns the question that tells whether the process of an instance is running.
    virtual UpstreamQuestion livenessQuestion(const InstanceId &instance) const = 0;
    // Returns the headers of a refusal by the gateway itself.
    virtual HttpHeaders refusalHeaders(const std::string &requestId, Outcome outcome,
                                       Duration retryAfter) const = 0;
};

} // namespace seamarch
