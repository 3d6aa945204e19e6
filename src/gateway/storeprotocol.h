// What a gateway must know of the platform's store: its calls and what their answers mean.
//
// An implementation of this interface writes calls and reads answers. It decides nothing and keeps
// no state; StoreWatcher makes the calls.
#pragma once

#include "decision/gateway/routetable.h"
#include "decision/gateway/upstreamtable.h"
#include "gateway/storeposition.h"
#include "net/httpclient.h"
#include "seamarch/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace seamarch {

// An upstream that the store no longer lists.
struct UpstreamRemoval
{
    InstanceId id;
    bool unreadable = false; // It is listed, but its entry makes no sense.
};

// The operators drain a hall, or have taken that back.
struct HallDrain
{
    HallId hall;
    bool cancelled = false;
};

// One item of the store, or its removal. Items of no interest are left out.
using StoreItem = std::variant<RoutingDocument, UpstreamRecord, UpstreamRemoval, HallDrain>;

// What a listing or a watch brought.
struct StoreItems
{
    StorePosition position; // The reader knows the revision; who made the call adds the era.
    std::vector<StoreItem> items;
    std::string nextPage;            // Where the next page starts; empty: this was the last.
    std::vector<std::string> faults; // Items that could not be read, for the log.
    bool routingUnreadable = false;  // One of them is the routing document.
};

enum class StoreError {
    HistoryCompacted, // The changes since the revision asked for are forgotten: list anew.
    Unavailable,      // The store did nothing; ask again later.
    Unreadable,       // The answer makes no sense.
};

class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    // Lists all items, or those from a page on.
    virtual HttpCallRequest listCall(const std::string &page) const = 0;
    // Waits for changes after `revision`.
    virtual HttpCallRequest watchCall(std::uint64_t revision, Duration maxWait) const = 0;
    virtual tl::expected<StoreItems, StoreError> readList(int status,
                                                          std::string_view body) const = 0;
    virtual tl::expected<StoreItems, StoreError> readWatch(int status,
                                                           std::string_view body) const = 0;
    // Reads the era of the store that gave an answer; zero when the answer does not tell it.
    virtual std::uint64_t readEra(const HttpHeaders &headers) const = 0;
    // Reads a routing document as the store holds it; fails with what is wrong with it.
    virtual tl::expected<RoutingDocument, std::string>
    readDocument(std::string_view text) const = 0;
};

} // namespace seamarch
