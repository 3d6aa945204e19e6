// Finds unused loopback ports for tests with real sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace seamarch {

// Returns a loopback TCP port that was unused at the time of the call; another process may take it
// afterwards. Throws std::runtime_error, which fails the test, if there is none.
inline int freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot bind a free loopback port");
    }
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
}

} // namespace seamarch
