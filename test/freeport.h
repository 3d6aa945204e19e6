// A port of loopback that nobody listens at, for tests with real sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace seamarch {

// Returns a port that was free a moment ago. Throws, which fails the test, when there is none.
inline int freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("no port of loopback is free");
    }
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
}

} // namespace seamarch
