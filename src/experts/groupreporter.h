// Serves the state of an expert agent's group to gateways.
//
// The decider, which knows all ranks from their reports, publishes the group's facts at each tick;
// waiting calls are answered as soon as the facts change. Any other agent refers callers to the
// decider.
#pragma once

#include "decision/gateway/grouptable.h"
#include "net/changenotifier.h"
#include "net/eventloop.h"
#include "wire/seamarch.capnp.h"

#include <cstdint>
#include <kj/async.h>
#include <optional>
#include <string>

namespace seamarch {

// Answers the `group` calls of gateways by long polling. Single-threaded. The loop outlives the
// object, and the object outlives the RPC servers that call it.
class GroupReporter
{
public:
    explicit GroupReporter(EventLoop &loop)
        : loop_(loop)
        , waiters_(loop)
    {}
    GroupReporter(const GroupReporter &) = delete;
    GroupReporter &operator=(const GroupReporter &) = delete;

    // Sets the facts of the group as of `asOf`, or as of the previous facts if these are newer.
    // This agent is the decider.
    void publish(const GroupFacts &facts, TimePoint asOf);
    // Refers callers to the decider at `host`, which is empty if unknown; this agent is not the
    // decider.
    void referTo(const std::string &host);

    // Answers a `group` call: at once if the caller's digest is outdated or this agent is not the
    // decider, otherwise when that becomes so or the caller's wait time is over.
    using Context = capnp::CallContext<wire::RankAgent::GroupParams, wire::RankAgent::GroupResults>;
    kj::Promise<void> answer(Context context);

private:
    void writeResults(wire::RankAgent::GroupResults::Builder results,
                      std::uint64_t callerDigest) const;

    EventLoop &loop_;
    ChangeNotifier waiters_;
    std::optional<GroupFacts> facts_; // Empty while this agent is not the decider.
    std::uint64_t digest_ = 0;        // Digest of `facts_`.
    TimePoint asOf_{};                // When `facts_` were last confirmed.
    std::string deciderHost_;         // Empty if unknown.
};

} // namespace seamarch
