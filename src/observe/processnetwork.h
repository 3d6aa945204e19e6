// What every process opens before it does anything: the RPC transport, the HTTP client, and the
// operators' address.
#pragma once

#include "net/httpclient.h"
#include "net/rawtransport.h"
#include "observe/operatorserver.h"

#include <memory>
#include <tl/expected.hpp>

namespace seamarch {

struct ProcessNetwork
{
    std::unique_ptr<RawTransport> transport;
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<OperatorServer> operators;
};

// Opens all three. Fails with the first that cannot be opened. The source and the metrics outlive
// what is returned.
tl::expected<ProcessNetwork, NetError> openProcessNetwork(EventLoop &loop,
                                                          const SocketAddress &operatorListen,
                                                          const StatusSource &source,
                                                          const Metrics &metrics);

} // namespace seamarch
