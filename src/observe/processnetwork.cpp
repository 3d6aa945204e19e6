#include "observe/processnetwork.h"

#include <utility>

namespace seamarch {

tl::expected<ProcessNetwork, NetError> openProcessNetwork(EventLoop &loop,
                                                          const SocketAddress &operatorListen,
                                                          const StatusSource &source,
                                                          const Metrics &metrics)
{
    ProcessNetwork net;
    auto transport = RawTransport::create(loop);
    if (!transport) {
        return tl::unexpected(transport.error());
    }
    net.transport = std::move(*transport);
    auto client = HttpClient::create(loop);
    if (!client) {
        return tl::unexpected(client.error());
    }
    net.client = std::move(*client);
    auto operators = OperatorServer::create(loop, operatorListen, source, metrics);
    if (!operators) {
        return tl::unexpected(operators.error());
    }
    net.operators = std::move(*operators);
    return net;
}

} // namespace seamarch
