// Small stand-ins for what the system meets outside: the platform's service, a model engine and a
// plain service, and the store and upstreams of the users' platform. Each speaks the published
// protocol over HTTP and can be told, at `/control`, to misbehave. They serve tests and the demo
// only.
#pragma once

#include "net/eventloop.h"
#include "net/httpserver.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace seamarch::standin {

// A stand-in behind one address. Takes `POST /control` with a JSON object of what to change.
class StandIn : public HttpHandler
{
public:
    explicit StandIn(EventLoop &loop)
        : loop_(loop)
    {}

    bool open(const SocketAddress &address);

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerGone(ExchangeId /*exchange*/) override {}
    void onDrained(ExchangeId /*exchange*/) override {}

protected:
    virtual void serve(ExchangeId exchange, const HttpRequest &request) = 0;
    // Returns the state after the change.
    virtual nlohmann::json control(const nlohmann::json &change) = 0;

    EventLoop &loop() { return loop_; }
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
