// Errors of the network layer.
#pragma once

#include <string>

namespace seamarch {

// What went wrong in the network layer, in words for a log line.
struct NetError
{
    enum class Kind { ContextFailed, ListenFailed, ConnectFailed };

    Kind kind;
    std::string message;
};

// An IP address and a port. Host names are refused: addresses come from settings as IP numbers.
struct SocketAddress
{
    std::string host;
    int port = 0;

    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

} // namespace seamarch
