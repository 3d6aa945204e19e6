// The part of GatewayPeers that asks for permits to send to upstreams that name a limit or warm up,
// and hands them out.
#include "base/log.h"
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaywire.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace seamarch {
namespace {

// One that answers that it does not know the question is of an earlier version and hands out none.
constexpr Duration kUnknownPause = std::chrono::seconds(1);

// A rate that makes no sense lets an upstream be asked now and then.
RequestRate readRate(double perSecond)
{
    return RequestRate(std::isfinite(perSecond) && perSecond >= 0.0 ? perSecond : 0.0);
}

} // namespace

// Hands out by the lowest of what the asker and this gateway know.
PermitAnswer GatewayPeers::handPermits(wire::GatewayPeer::PermitsParams::Reader question)
{
    const TimePoint now = loop_.now();
    const GatewayRecord from = readGateway(question.getSelf());
    directory_.recordSeen(from, now);
    const LimitWord word = readLimit(question.getLimit(), now);
    if (word.rate) {
        limits_.learn(word, now);
    }
    UpstreamRecord upstream;
    upstream.id = word.upstream;
    upstream.start = word.start;
    std::optional<RequestRate> rate = limits_.limitOf(upstream);
    rate = rate ? rate : word.rate;
    if (question.getWarmUpPerSecond() != 0.0) {
        const RequestRate warmUp = readRate(question.getWarmUpPerSecond());
        rate = std::min(rate.value_or(warmUp), warmUp);
    }
    return permitIssuer_.take(word.upstream, rate.value_or(RequestRate()), from.id,
                              question.getWanted(), now);
}

void GatewayPeers::askForPermits(const GatewayRecord &issuer, const PermitQuestion &question,
                                 PermitsAnswered answered)
{
    const SocketAddress address{issuer.host, issuer.port};
    auto request = linkTo(address).rpc->capability().castAs<wire::GatewayPeer>().permitsRequest();
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    const LimitWord none{question.upstream, question.start, std::nullopt, TimePoint{}};
    writeLimit(question.limit.value_or(none), loop_.now(), request.initLimit());
    request.setWanted(question.wanted);
    request.setWarmUpPerSecond(question.warmUp.value_or(RequestRate()).perSecond());
    // Whichever comes first, the answer or the end of patience, ends the question.
    const auto over = std::make_shared<bool>(false);
    const auto conclude = [over, answered = std::move(answered)](const PermitAnswer &answer) {
        if (!std::exchange(*over, true)) {
            answered(answer);
        }
    };
    loop_.schedule(detail::kPeerPatience,
                   [this, address, id = issuer.id, over, conclude, alive = alive_] {
                       if (!*alive || *over) {
                           return;
                       }
                       // The connection may have gone silent for good while a new one works.
                       linkTo(address).rpc.reset();
                       directory_.onFailed(id, loop_.now());
                       logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", id.value()}});
                       conclude({0, Duration{}});
                   });
    tasks_.add(request.send().then(
        [conclude](capnp::Response<wire::GatewayPeer::PermitsResults> &&answer) {
            conclude({answer.getGranted(), Duration(answer.getAskAgainMicros())});
        },
        [this, conclude, id = issuer.id](kj::Exception &&exception) {
            const bool unknown = exception.getType() == kj::Exception::Type::UNIMPLEMENTED;
            if (!unknown) {
                directory_.onFailed(id, loop_.now());
                logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", id.value()}});
            }
            conclude({0, unknown ? kUnknownPause : detail::kPeerPause});
        }));
}

} // namespace seamarch
