// A blocking HTTP GET for commands of the operators' tool.
#pragma once

#include "net/neterror.h"

#include <string>
#include <tl/expected.hpp>

namespace seamarch {

// Returns the response body of `GET path`. Fails if no complete response with status 200 arrives
// within 10 s.
tl::expected<std::string, NetError> fetch(const SocketAddress &address, const std::string &path);

} // namespace seamarch
