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
constexpr Duration kUnsupportedRetryDelay = std::chrono::seconds(1);

// A rate that makes no sense lets an upstream be asked now and then.
RequestRate readRate(double perSecond)
{
    return RequestRate(std::isfinite(perSecond) && perSecond >= 0.0 ? perSecond : 0.0);
}

} // namespace

// Hands out by the lowest of what the asker and this gateway know.
PermitAnswer GatewayPeers::grantPermits(wire::GatewayPeer::PermitsParams::Reader permitRequest)
{
    const TimePoint now = loop_.now();
    const GatewayRecord from = readGateway(permitRequest.getSelf());
    directory_.hear(from, now);
    const LimitWord word = readLimit(permitRequest.getLimit(), now);
    if (word.rate) {
        limits_.learn(word, now);
    }
    UpstreamRecord upstream;
    upstream.id = word.upstream;
    upstream.start = word.start;
    std::optional<RequestRate> rate = limits_.limitOf(upstream);
    rate = rate ? rate : word.rate;
    if (permitRequest.getWarmUpPerSecond() != 0.0) {
        const RequestRate warmUp = readRate(permitRequest.getWarmUpPerSecond());
        rate = std::min(rate.value_or(warmUp), warmUp);
    }
    return permitIssuer_.take(word.upstream, rate.value_or(RequestRate()), from.id,
                              permitRequest.getWanted(), now);
}

void GatewayPeers::requestPermits(const GatewayRecord &issuer, const PermitRequest &permitRequest,
                                  PermitsCallback onAnswer)
{
    const SocketAddress address{issuer.host, issuer.port};
    auto request = linkTo(address).rpc->capability().castAs<wire::GatewayPeer>().permitsRequest();
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    const LimitWord none{permitRequest.upstream, permitRequest.start, std::nullopt, TimePoint{}};
    writeLimit(permitRequest.limit.value_or(none), loop_.now(), request.initLimit());
    request.setWanted(permitRequest.wanted);
    request.setWarmUpPerSecond(permitRequest.warmUp.value_or(RequestRate()).perSecond());
    // Whichever comes first, the answer or the end of patience, ends the question.
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [finished, onAnswer = std::move(onAnswer)](const PermitAnswer &answer) {
        if (!std::exchange(*finished, true)) {
            onAnswer(answer);
        }
    };
    loop_.schedule(detail::kPeerTimeout,
                   [this, address, id = issuer.id, finished, finish, alive = alive_] {
                       if (!*alive || *finished) {
                           return;
                       }
                       // The connection may have gone silent for good while a new one works.
                       linkTo(address).rpc.reset();
                       directory_.onFailed(id, loop_.now());
                       logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", id.value()}});
                       finish({0, Duration{}});
                   });
    tasks_.add(request.send().then(
        [finish](capnp::Response<wire::GatewayPeer::PermitsResults> &&answer) {
            finish({answer.getGranted(), Duration(answer.getAskAgainMicros())});
        },
        [this, finish, id = issuer.id](kj::Exception &&exception) {
            const bool unknown = exception.getType() == kj::Exception::Type::UNIMPLEMENTED;
            if (!unknown) {
                directory_.onFailed(id, loop_.now());
                logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", id.value()}});
            }
            finish({0, unknown ? kUnsupportedRetryDelay : detail::kPeerRetryDelay});
        }));
}

} // namespace seamarch
