#include "base/digest.h"

#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <random>

namespace seamarch {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int index = 0; index < size; ++index) {
        hex += fmt::format("{:02x}", digest.at(index));
    }
    return hex;
}

std::uint64_t randomIdentity()
{
    std::random_device device;
    constexpr unsigned kHalf = 32;
    const std::uint64_t value = (static_cast<std::uint64_t>(device()) << kHalf) | device();
    return value == 0 ? 1 : value;
}

} // namespace seamarch
