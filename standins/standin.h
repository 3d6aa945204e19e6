// Stand-ins for the external systems that the load balancer talks to: the platform's service, a
// model engine, a plain service, and the store and the upstreams (replicas) of the users' platform.
// Each implements the published protocol over HTTP and can be made to misbehave through `/control`.
// For tests and the demo only.
#pragma once

#include "net/eventloop.h"
#include "net/httpserver.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace seamarch::standin {

// An HTTP server that imitates one external system at one address. A request to `/control` carries
// a JSON object with the settings to change; all other requests go to `serve`.
class StandIn : public HttpHandler
{
public:
    explicit StandIn(EventLoop &loop)
        : loop_(loop)
    {}

    // Starts to listen at `address`. Logs an error and returns false if that fails.
    bool open(const SocketAddress &address);

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerGone(ExchangeId /*exchange*/) override {}
    void onDrained(ExchangeId /*exchange*/) override {}

protected:
    // Handles a request of the imitated protocol.
    virtual void serve(ExchangeId exchange, const HttpRequest &request) = 0;
    // Applies the settings in `change` and returns the resulting state and counters.
    virtual nlohmann::json control(const nlohmann::json &change) = 0;

    EventLoop &loop() { return loop_; }
    // Requires that `open` has succeeded.
    HttpServer &server() { return *server_; }
    void respondJson(ExchangeId exchange, int status, const nlohmann::json &body);

private:
    EventLoop &loop_;
    std::unique_ptr<HttpServer> server_;
};

std::unique_ptr<StandIn> makePlatform(EventLoop &loop);
std::unique_ptr<StandIn> makeEngine(EventLoop &loop);
std::unique_ptr<StandIn> makeService(EventLoop &loop);
std::unique_ptr<StandIn> makeStore(EventLoop &loop);
std::unique_ptr<StandIn> makeReplica(EventLoop &loop);

} // namespace seamarch::standin
