#include "net/httpstatus.h"

#include <http_parser.h>

namespace seamarch {

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

bool statusHasNoBody(int status)
{
    constexpr int kFirstFinalStatus = 200;
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status < kFirstFinalStatus || status == kNoContent || status == kNotModified;
}

} // namespace seamarch
