// What an agent tells gateways of its group.
//
// The agent that decides knows all ranks and how they fare, from their reports; it hands the facts
// over at each tick, and questions that wait are answered as soon as they change. Any other agent
// names the one that decides.
//
// Single-threaded. The loop outlives the object, and the object the serving ends.
#pragma once

#include "decision/gateway/grouptable.h"
#include "net/eventloop.h"
#include "net/wakelist.h"
#include "wire/seamarch.capnp.h"

#include <cstdint>
#include <kj/async.h>
#include <optional>
#include <string>

namespace seamarch {

class GroupReporter
{
public:
    explicit GroupReporter(EventLoop &loop)
        : loop_(loop)
        , waiters_(loop)
    {}
    GroupReporter(const GroupReporter &) = delete;
    GroupReporter &operator=(const GroupReporter &) = delete;

    // This agent decides, and its group was so at `asOf`.
    void publish(const GroupFacts &facts, TimePoint asOf);
    // This agent does not decide; `host` is that of the one that does, empty when it is not known.
    void referTo(const std::string &host);

    // Answers a gateway's question, at once or when there is news.
    using Context = capnp::CallContext<wire::RankAgent::GroupParams, wire::RankAgent::GroupResults>;
    kj::Promise<void> answer(Context context);

private:
    void writeResults(wire::RankAgent::GroupResults::Builder results,
                      std::uint64_t askedMark) const;

    EventLoop &loop_;
    WakeList waiters_;
    std::optional<GroupFacts> facts_; // While this agent decides.
    std::uint64_t mark_ = 0;
    TimePoint asOf_{};
    std::string deciderHost_;
};

} // namespace seamarch
