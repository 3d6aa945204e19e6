#include "base/log.h"
#include "base/settings.h"
#include "base/untrustedjson.h"
#include "standin.h"

#include <csignal>
#include <docopt/docopt.h>
#include <fmt/format.h>

namespace seamarch::standin {

bool StandIn::open(const SocketAddress &address)
{
    HttpServerOptions options;
    options.answersFinishedCallers = false; // An upstream drops a request once its caller closes.
    options.address = address;
    auto server = HttpServer::create(loop_, *this, std::move(options));
    if (!server) {
        logLine(LogLevel::Error, "standin.start-failed", {{"message", server.error().message}});
        return false;
    }
    server_ = std::move(*server);
    return true;
}

void StandIn::onRequest(ExchangeId exchange, HttpRequest request)
{
    if (request.path != "/control") {
        serve(exchange, request);
        return;
    }
    const nlohmann::json change = parseUntrustedJson(request.body).value_or(nullptr);
    respondJson(exchange, 200, control(change.is_object() ? change : nlohmann::json::object()));
}

void StandIn::respondJson(ExchangeId exchange, int status, const nlohmann::json &body)
{
    HttpResponseHead head;
    head.status = status;
    server_->respond(exchange, head, body.dump());
}

} // namespace seamarch::standin

namespace {

constexpr const char *kUsage = R"(seamarch-standin - stand-ins for tests and the demo

Usage:
  seamarch-standin (platform | engine | service | store | replica) --listen=ADDRESS
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace seamarch;
    const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    const auto address = parseHostPort(arguments.at("--listen").asString());
    auto loop = EventLoop::create();
    if (!loop || !address) {
        fmt::print(stderr, "seamarch-standin: expected --listen IP:PORT\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<standin::StandIn> standIn;
    if (arguments.at("platform").asBool()) {
        standIn = standin::makePlatform(**loop);
    } else if (arguments.at("engine").asBool()) {
        standIn = standin::makeEngine(**loop);
    } else if (arguments.at("store").asBool()) {
        standIn = standin::makeStore(**loop);
    } else if (arguments.at("replica").asBool()) {
        standIn = standin::makeReplica(**loop);
    } else {
        standIn = standin::makeService(**loop);
    }
    if (!standIn->open({address->host, address->port})) {
        return 3;
    }
    (*loop)->run();
    (*loop)->shutDown();
    return 0;
}
