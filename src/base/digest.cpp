#include "base/digest.h"

#include <array>
#include <cstring>
#include <fmt/format.h>
#include <memory>
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

std::uint64_t sha256Prefix(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                          &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        const std::uint64_t size = part.size();
        EVP_DigestUpdate(context.get(), &size, sizeof(size));
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof(prefix));
    return prefix;
}

std::uint64_t randomNonzeroId()
{
    std::random_device device;
    constexpr unsigned kHalfBits = 32;
    const std::uint64_t value = (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
    return value == 0 ? 1 : value;
}

} // namespace seamarch
