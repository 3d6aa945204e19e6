#include "experts/groupreporter.h"

#include "gateway/gatewaywire.h"

#include <algorithm>

namespace seamarch {
namespace {

// Upper limit of the wait time that a caller may request.
constexpr Duration kMaxWait = std::chrono::seconds(1);

} // namespace

void GroupReporter::publish(const GroupFacts &facts, TimePoint asOf)
{
    // The reports of a new epoch may have been requested before the last ones of the old epoch, but
    // gateways must not take the state that is published last for an outdated one.
    asOf_ = std::max(asOf_, asOf);
    if (facts_ && *facts_ == facts) {
        return;
    }
    facts_ = facts;
    digest_ = digestOf(facts);
    waiters_.notifyAll();
}

void GroupReporter::referTo(const std::string &host)
{
    deciderHost_ = host;
    if (facts_) {
        facts_.reset();
        waiters_.notifyAll();
    }
}

kj::Promise<void> GroupReporter::answer(Context context)
{
    const std::uint64_t callerDigest = context.getParams().getMark();
    const Duration wait = std::min(Duration(context.getParams().getWaitMicros()), kMaxWait);
    if (!facts_ || callerDigest != digest_ || wait <= Duration{}) {
        writeResults(context.getResults(), callerDigest);
        return kj::READY_NOW;
    }
    const TimePoint receivedAt = loop_.now();
    return waiters_.wait(wait).then([this, context, callerDigest, receivedAt]() mutable {
        context.getResults().setHeldMicros((loop_.now() - receivedAt).count());
        writeResults(context.getResults(), callerDigest);
    });
}

void GroupReporter::writeResults(wire::RankAgent::GroupResults::Builder results,
                                 std::uint64_t callerDigest) const
{
    results.setDecides(facts_.has_value());
    if (!facts_) {
        results.setDeciderHost(deciderHost_);
        return;
    }
    results.setGroup(facts_->group.value());
    results.setMark(digest_);
    writeGroup(*facts_, loop_.now() - asOf_, callerDigest != digest_, results.initNews());
}

} // namespace seamarch
