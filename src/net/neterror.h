// The error and address types of the network layer.
#pragma once

#include <string>

namespace seamarch {

// An error of the network layer. `message` is a readable text for a log line.
struct NetError
{
    enum class Kind { ContextFailed, ListenFailed, ConnectFailed };

    Kind kind;
    std::string message;
};

// A numeric IP address and a port. Host names are not supported, because addresses come from
// settings as numeric IP addresses.
struct SocketAddress
{
    std::string host;
    int port = 0;

    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

} // namespace seamarch
