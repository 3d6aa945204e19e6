// Types that the HTTP server and the HTTP client share.
#pragma once

#include <string>

namespace seamarch {

struct HttpHeader
{
    std::string name; // In lower case.
    std::string value;
};

} // namespace seamarch
