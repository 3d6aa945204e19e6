// Reads one address once, for a command that waits for the answer.
#pragma once

#include "net/neterror.h"

#include <string>
#include <tl/expected.hpp>

namespace seamarch {

// Returns the body of `GET path`. Fails when there is no answer with status 200 in some seconds.
tl::expected<std::string, NetError> fetch(const SocketAddress &address, const std::string &path);

} // namespace seamarch
