// The part of GatewayPeers that requests and grants permits to send to upstreams that name a rate
// limit or are warming up.
#include "base/log.h"
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaywire.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace seamarch {
namespace {

// The delay before permits are requested again from a gateway of an earlier software version, which
// does not implement the call and grants none.
constexpr Duration kUnsupportedRetryDelay = std::chrono::seconds(1);

// Returns the rate; zero if it is negative or not finite. At zero the issuer still grants an
// occasional permit.
RequestRate readRate(double perSecond)
{
    return RequestRate(std::isfinite(perSecond) && perSecond >= 0.0 ? perSecond : 0.0);
}

} // namespace

// Grants permits at the lowest rate that the requester and this gateway know of.
PermitGrant GatewayPeers::grantPermits(wire::GatewayPeer::PermitsParams::Reader permitRequest)
{
    const TimePoint now = loop_.now();
    const GatewayRecord from = readGateway(permitRequest.getSelf());
    directory_.recordSeen(from, now);
    const LimitReport report = readLimit(permitRequest.getLimit(), now);
    if (report.rate) {
        limits_.merge(report, now);
    }
    UpstreamRecord upstream;
    upstream.id = report.upstream;
    upstream.start = report.start;
    std::optional<RequestRate> rate = limits_.limitOf(upstream);
    rate = rate ? rate : report.rate;
    if (permitRequest.getWarmUpPerSecond() != 0.0) {
        const RequestRate warmUp = readRate(permitRequest.getWarmUpPerSecond());
        rate = std::min(rate.value_or(warmUp), warmUp);
    }
    return permitIssuer_.issue(report.upstream, rate.value_or(RequestRate()), from.id,
                               permitRequest.getWanted(), now);
}

void GatewayPeers::requestPermits(const GatewayRecord &issuer, const PermitRequest &permitRequest,
                                  PermitsCallback onAnswer)
{
    const SocketAddress address{issuer.host, issuer.port};
    auto request = linkTo(address).rpc->capability().castAs<wire::GatewayPeer>().permitsRequest();
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    const LimitReport noLimit{permitRequest.upstream, permitRequest.start, std::nullopt,
                              TimePoint{}};
    writeLimit(permitRequest.limit.value_or(noLimit), loop_.now(), request.initLimit());
    request.setWanted(permitRequest.wanted);
    request.setWarmUpPerSecond(permitRequest.warmUp.value_or(RequestRate()).perSecond());
    // The first of the answer and the timeout ends the request.
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [finished, onAnswer = std::move(onAnswer)](const PermitGrant &answer) {
        if (!std::exchange(*finished, true)) {
            onAnswer(answer);
        }
    };
    loop_.schedule(detail::kPeerTimeout,
                   [this, address, id = issuer.id, finished, finish, alive = alive_] {
                       if (!*alive || *finished) {
                           return;
                       }
                       // The connection may be dead without an error, while a new one would work.
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
