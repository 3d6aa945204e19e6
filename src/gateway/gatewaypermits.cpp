// The part of GatewayPeers that asks for permits to send to upstreams that name a limit, and hands
// them out.
#include "base/log.h"
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaywire.h"

#include <utility>

namespace seamarch {
namespace {

// One that answers that it does not know the question is of an earlier version and hands out none.
constexpr Duration kUnknownPause = std::chrono::seconds(1);

} // namespace

PermitAnswer GatewayPeers::handPermits(wire::GatewayRecord::Reader asker,
                                       wire::UpstreamLimit::Reader limit, std::uint32_t wanted)
{
    const TimePoint now = loop_.now();
    const GatewayRecord from = readGateway(asker);
    directory_.hear(from, now);
    const LimitWord word = readLimit(limit, now);
    limits_.learn(word, now);
    UpstreamRecord upstream;
    upstream.id = word.upstream;
    upstream.start = word.start;
    const RequestRate rate = limits_.limitOf(upstream).value_or(word.rate.value_or(RequestRate()));
    return permitIssuer_.take(word.upstream, rate, from.id, wanted, now);
}

void GatewayPeers::askForPermits(const GatewayRecord &issuer, const LimitWord &limit,
                                 std::uint32_t wanted, PermitsAnswered answered)
{
    const SocketAddress address{issuer.host, issuer.port};
    auto request = linkTo(address).rpc->capability().castAs<wire::GatewayPeer>().permitsRequest();
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    writeLimit(limit, loop_.now(), request.initLimit());
    request.setWanted(wanted);
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
