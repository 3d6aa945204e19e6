// The HTTP server for operators: /healthz, /readyz, /metrics and /status.
#pragma once

#include "net/httpserver.h"
#include "observe/metrics.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace seamarch {

// The interface through which a process reports its readiness and status to operators.
class StatusSource
{
public:
    virtual ~StatusSource() = default;
    // Returns whether the process accepts work. Otherwise sets `reason`, which /readyz returns with
    // status 503.
    virtual bool ready(std::string &reason) const = 0;
    // Returns the document that /status serves.
    virtual nlohmann::json status() const = 0;
};

// Serves the readiness, metrics and status of a process. The source and the metrics must outlive
// it.
class OperatorServer final : private HttpHandler
{
public:
    // Opens the server. Fails if it needs `address` and cannot listen there.
    static tl::expected<std::unique_ptr<OperatorServer>, NetError>
    create(EventLoop &loop, const SocketAddress &address, const StatusSource &source,
           const Metrics &metrics, AddressNeed need = AddressNeed::Required);

private:
    OperatorServer(const StatusSource &source, const Metrics &metrics)
        : source_(source)
        , metrics_(metrics)
    {}

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerGone(ExchangeId exchange) override;
    void onDrained(ExchangeId exchange) override;

    const StatusSource &source_;
    const Metrics &metrics_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace seamarch
