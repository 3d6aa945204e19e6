#include "gateway/requestdigest.h"

#include "base/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace seamarch {

RequestDigest digestOf(const HttpRequest &request, const AccountId &account)
{
    return RequestDigest(sha256Prefix(
        {request.method, request.header("host"), request.target, account.value(), request.body}));
}

std::vector<PromptPartId> promptPartIds(const std::vector<std::string> &parts)
{
    std::vector<PromptPartId> ids;
    ids.reserve(parts.size());
    for (const std::string &part : parts) {
        ids.emplace_back(XXH3_64bits(part.data(), part.size()));
    }
    return ids;
}

std::string toText(const RequestDigest &digest)
{
    return fmt::format("{:016x}", digest.value());
}

} // namespace seamarch
