// The operators' address of a process: /healthz, /readyz, /metrics and /status.
#pragma once

#include "net/httpserver.h"
#include "observe/metrics.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace seamarch {

// What a process tells its operators.
class StatusSource
{
public:
    virtual ~StatusSource() = default;
    // Tells whether the process takes work; `/readyz` answers 503 with `reason` when it does not.
    virtual bool ready(std::string &reason) const = 0;
    virtual nlohmann::json status() const = 0;
};

// Serves the operators' address. The source and the metrics outlive it.
class OperatorServer final : private HttpHandler
{
public:
    static tl::expected<std::unique_ptr<OperatorServer>, NetError>
    create(EventLoop &loop, const SocketAddress &address, const StatusSource &source,
           const Metrics &metrics);

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
