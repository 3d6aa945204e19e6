// The interface through which an expert agent speaks an engine's HTTP protocol: rank reports,
// counts of chosen experts, and orders about expert maps.
#pragma once

#include "decision/expertmap/groupdecider.h"
#include "net/httpclient.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

// The experts that an expert map assigns to one rank.
struct ExpertsOfRank
{
    std::uint64_t mapVersion = 0;
    std::vector<std::vector<std::uint16_t>> bySet; // Expert numbers by set of layers.
};

// Builds HTTP requests to engines and parses their responses. Implementations are stateless and
// make no decisions.
class EngineProtocol
{
public:
    virtual ~EngineProtocol() = default;

    // Build the requests for an engine's rank report, its expert counts and its current experts.
    virtual HttpCallRequest reportCall(const SocketAddress &engine) const = 0;
    virtual HttpCallRequest countsCall(const SocketAddress &engine) const = 0;
    virtual HttpCallRequest expertsCall(const SocketAddress &engine) const = 0;
    // Builds the request that sends `order` to an engine.
    virtual HttpCallRequest orderCall(const SocketAddress &engine, const MapOrder &order) const = 0;

    // The readers parse a response body and return a description of the fault if it is malformed.
    // readReport() also fails if the engine belongs to no group.
    virtual tl::expected<RankReport, std::string> readReport(std::string_view body) const = 0;
    // Returns how often each expert was chosen since the engine started, concatenated by set of
    // layers.
    virtual tl::expected<std::vector<std::uint64_t>, std::string>
    readCounts(std::string_view body) const = 0;
    // Returns the experts that the rank holds in the map in use.
    virtual tl::expected<ExpertsOfRank, std::string> readExperts(std::string_view body) const = 0;
    // Maps the HTTP status of the response to an order.
    virtual MapOrderAnswer readOrderAnswer(int status) const = 0;
};

} // namespace seamarch
