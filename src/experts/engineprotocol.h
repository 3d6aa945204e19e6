// What an expert agent must know of the protocol that engines speak: their reports, the counts of
// chosen experts, and orders about maps.
//
// An implementation of this interface writes calls and reads answers. It decides nothing and keeps
// no state.
#pragma once

#include "decision/expertmap/groupdecider.h"
#include "net/httpclient.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

// The experts of one rank in a map.
struct ExpertsOfRank
{
    std::uint64_t mapVersion = 0;
    std::vector<std::vector<std::uint16_t>> bySet; // Of layers.
};

class EngineProtocol
{
public:
    virtual ~EngineProtocol() = default;

    virtual HttpCallRequest reportCall(const SocketAddress &engine) const = 0;
    virtual HttpCallRequest countsCall(const SocketAddress &engine) const = 0;
    virtual HttpCallRequest expertsCall(const SocketAddress &engine) const = 0;
    virtual HttpCallRequest orderCall(const SocketAddress &engine, const MapOrder &order) const = 0;

    // Readers fail with what is wrong with the answer. An engine that is in no group fails.
    virtual tl::expected<RankReport, std::string> readReport(std::string_view body) const = 0;
    // Counts since the engine's start, set by set.
    virtual tl::expected<std::vector<std::uint64_t>, std::string>
    readCounts(std::string_view body) const = 0;
    virtual tl::expected<ExpertsOfRank, std::string> readExperts(std::string_view body) const = 0;
    virtual MapOrderAnswer readOrderAnswer(int status) const = 0;
};

} // namespace seamarch
