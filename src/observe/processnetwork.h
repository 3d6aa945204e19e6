// The network endpoints that every process opens at start, before any other work.
#pragma once

#include "net/httpclient.h"
#include "net/rawtransport.h"
#include "observe/operatorserver.h"

#include <memory>
#include <tl/expected.hpp>

namespace seamarch {

// The RPC transport, the HTTP client and the operators' HTTP server of a process.
struct ProcessNetwork
{
    std::unique_ptr<RawTransport> transport;
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<OperatorServer> operators;
};

// Opens all three. Returns the error of the first one that cannot be opened. The source and the
// metrics must outlive the result.
tl::expected<ProcessNetwork, NetError> openProcessNetwork(EventLoop &loop,
                                                          const SocketAddress &operatorListen,
                                                          const StatusSource &source,
                                                          const Metrics &metrics);

} // namespace seamarch
