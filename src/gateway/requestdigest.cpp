#include "gateway/requestdigest.h"

#include "base/digest.h"

#include <fmt/format.h>

namespace seamarch {

RequestDigest digestOf(const HttpRequest &request, const AccountId &account)
{
    return RequestDigest(sha256Prefix(
        {request.method, request.header("host"), request.target, account.value(), request.body}));
}

std::string toText(const RequestDigest &digest)
{
    return fmt::format("{:016x}", digest.value());
}

} // namespace seamarch
