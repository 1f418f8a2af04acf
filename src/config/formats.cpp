#include "config/formats.hpp"

#include <arbutuscrank/config/limits.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace arbutuscrank::config {

namespace {

    constexpr std::uint32_t maxPort = 65'535;
    constexpr std::uint32_t addressBits = 32;

    bool isAlphanumeric(char it) noexcept
    {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9');
    }

    /// \brief Names become parts of object keys and headers, so they hold no '/', space or control character.
    bool isName(std::string_view text, std::string_view punctuation)
    {
        return !text.empty() && text.size() <= limits::maxNameBytes && isAlphanumeric(text.front())
            && std::all_of(text.begin(), text.end(), [punctuation](char it) {
                   return isAlphanumeric(it) || punctuation.find(it) != std::string_view::npos;
               });
    }

    bool isDigest(std::string_view text)
    {
        return text.size() == limits::digestDigits && std::all_of(text.begin(), text.end(), [](char it) {
            return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
        });
    }

    /// \brief Decimal number without sign or leading zero.
    std::optional<std::uint32_t> parseDecimal(std::string_view text, std::uint32_t most)
    {
        std::uint32_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || end != text.data() + text.size() || (text.size() > 1 && text.front() == '0'))
            return std::nullopt;
        return value <= most ? std::optional(value) : std::nullopt;
    }

    std::optional<std::uint32_t> parseIpv4(std::string_view text)
    {
        // inet_pton stops at a NUL byte, which would let trailing bytes pass.
        if (text.size() > INET_ADDRSTRLEN || text.find('\0') != std::string_view::npos)
            return std::nullopt;
        in_addr address {};
        if (inet_pton(AF_INET, std::string(text).c_str(), &address) != 1)
            return std::nullopt;
        return ntohl(address.s_addr);
    }

    bool isAddress(std::string_view text)
    {
        const auto colon = text.find(':');
        if (colon == std::string_view::npos || !parseIpv4(text.substr(0, colon)))
            return false;
        const auto port = parseDecimal(text.substr(colon + 1), maxPort);
        return port && *port > 0;
    }

    /// \brief A path that needs no decoding or normalisation, so that prefixes compare byte by byte.
    bool isPlainPath(std::string_view text)
    {
        constexpr std::string_view punctuation = "/-._~!$&'()*+,;=:@";
        if (text.empty() || text.size() > limits::maxPathPrefixBytes || text.front() != '/')
            return false;
        if (!std::all_of(text.begin(), text.end(), [punctuation](char it) {
                return isAlphanumeric(it) || punctuation.find(it) != std::string_view::npos;
            }))
            return false;
        const auto terminated = std::string(text) + '/';
        return text.find("//") == std::string_view::npos && terminated.find("/./") == std::string::npos
            && terminated.find("/../") == std::string::npos;
    }

} // namespace

std::optional<AddressBlock> parseCidr(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto address = parseIpv4(text.substr(0, slash));
    const auto length = parseDecimal(text.substr(slash + 1), addressBits);
    if (!address || !length)
        return std::nullopt;
    const std::uint32_t hostMask = *length == addressBits ? 0U : ~0U >> *length;
    if ((*address & hostMask) != 0)
        return std::nullopt;
    return AddressBlock { *address, *address | hostMask };
}

bool hasFormat(std::string_view text, Format format)
{
    switch (format) {
    case Format::Name:
        return isName(text, "-_.");
    case Format::KeyId:
        return isName(text, "-_");
    case Format::Digest:
        return isDigest(text);
    case Format::Address:
        return isAddress(text);
    case Format::PathPrefix:
        return isPlainPath(text) && text.back() == '/';
    case Format::OpenPath:
        return isPlainPath(text);
    case Format::Cidr:
        return parseCidr(text).has_value();
    }
    return false;
}

std::string_view describe(Format format) noexcept
{
    switch (format) {
    case Format::Name:
        return "1 to 64 of A-Z a-z 0-9 . _ -, first a letter or digit";
    case Format::KeyId:
        return "1 to 64 of A-Z a-z 0-9 _ -, first a letter or digit";
    case Format::Digest:
        return "64 lower-case hex digits";
    case Format::Address:
        return "IPv4 address and port 1 to 65535, as in 10.0.0.1:80";
    case Format::PathPrefix:
        return "plain path of 1 to 256 bytes that begins and ends with '/'";
    case Format::OpenPath:
        return "plain path of 1 to 256 bytes that begins with '/'";
    case Format::Cidr:
        return "IPv4 block without host bits, as in 10.1.0.0/16";
    }
    return "";
}

} // namespace arbutuscrank::config
