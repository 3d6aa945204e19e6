#include "experts/orderrelay.h"

#include "base/log.h"
#include "experts/rankwire.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// How long agents may take to answer. An agent answers within 250 ms even if its engine is still
// copying, and the order shares the link with the orders to other ranks.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(600);
// Links that have carried no order for this long are closed.
constexpr Duration kLinkIdleTimeout = std::chrono::seconds(30);

} // namespace

// Logs failures of RPC calls that no handler caught.
class OrderRelay::CallErrorLogger final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&exception) override
    {
        logLine(LogLevel::Warning, "relay.call_failed",
                {{"message", exception.getDescription().cStr()}});
    }
};

// One order in flight to several agents.
struct OrderRelay::Batch
{
    std::vector<RelayTarget> pending; // Targets that have not answered.
    std::vector<RelayedAnswer> answers;
    Done done; // Empty after it has been called.
};

OrderRelay::OrderRelay(EventLoop &loop, RawTransport &transport, int agentPort)
    : loop_(loop)
    , transport_(transport)
    , agentPort_(agentPort)
    , callErrorLogger_(std::make_unique<CallErrorLogger>())
    , tasks_(*callErrorLogger_)
{}

OrderRelay::~OrderRelay()
{
    *alive_ = false;
}

RpcLink &OrderRelay::linkTo(const std::string &host)
{
    Link &entry = links_[host];
    if (entry.link == nullptr) {
        entry.link = std::make_unique<RpcLink>(loop_, transport_, SocketAddress{host, agentPort_});
    }
    entry.lastUsedAt = loop_.now();
    return *entry.link;
}

void OrderRelay::closeIdleLinks()
{
    std::erase_if(links_, [now = loop_.now()](const auto &entry) {
        return now - entry.second.lastUsedAt > kLinkIdleTimeout;
    });
}

void OrderRelay::relay(const MapOrder &order, const std::vector<RelayTarget> &targets, Done done)
{
    closeIdleLinks();
    const auto batch = std::make_shared<Batch>();
    batch->pending = targets;
    batch->done = std::move(done);
    for (const RelayTarget &target : targets) {
        send(order, target, batch);
    }
    loop_.schedule(kAnswerTimeout, [this, batch, alive = alive_] {
        if (*alive) {
            onTimeout(*batch);
        }
    });
}

void OrderRelay::send(const MapOrder &order, const RelayTarget &target,
                      const std::shared_ptr<Batch> &batch)
{
    auto request = linkTo(target.host).capability().castAs<wire::RankAgent>().orderRequest();
    writeOrder(order, request.initOrder());
    const std::uint32_t rank = target.rank;
    tasks_.add(request.send().then(
        [this, batch, rank](capnp::Response<wire::RankAgent::OrderResults> answer) {
            onAnswer(*batch, rank, static_cast<MapOrderAnswer>(answer.getStatus()));
        },
        [this, batch, rank](kj::Exception && /*exception*/) {
            onAnswer(*batch, rank, MapOrderAnswer::Lost);
        }));
}

void OrderRelay::onAnswer(Batch &batch, std::uint32_t rank, MapOrderAnswer answer)
{
    if (!batch.done) {
        return;
    }
    std::erase_if(batch.pending, [rank](const RelayTarget &target) { return target.rank == rank; });
    batch.answers.push_back({rank, answer});
    if (batch.pending.empty()) {
        std::exchange(batch.done, nullptr)(batch.answers);
    }
}

// Reports the targets that have not answered as lost and closes their links, which may be dead.
void OrderRelay::onTimeout(Batch &batch)
{
    if (!batch.done) {
        return;
    }
    for (const RelayTarget &target : batch.pending) {
        logLine(LogLevel::Info, "relay.unanswered", {{"rank", target.rank}});
        batch.answers.push_back({target.rank, MapOrderAnswer::Lost});
        links_.erase(target.host);
    }
    std::exchange(batch.done, nullptr)(batch.answers);
}

} // namespace seamarch
