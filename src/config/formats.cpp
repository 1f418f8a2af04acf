#include "config/formats.hpp"

#include <arbutuscrank/config/limits.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace arbutuscrank::config {

namespace {

    constexpr std::uint32_t maxPort = 65'535;
    constexpr std::uint32_t ipv4Bits = 32;

    bool isAlphanumeric(char it) noexcept
    {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9');
    }

    /// \brief Names are used in object keys and headers, so they contain no '/', space or control character.
    /// \param punctuation allowed characters other than letters and digits
    bool isName(std::string_view text, std::string_view punctuation)
    {
        return !text.empty() && text.size() <= limits::maxNameBytes && isAlphanumeric(text.front())
            && std::all_of(text.begin(), text.end(), [punctuation](char it) {
                   return isAlphanumeric(it) || punctuation.find(it) != std::string_view::npos;
               });
    }

    bool isDigest(std::string_view text)
    {
        return text.size() == limits::digestHexDigits && std::all_of(text.begin(), text.end(), [](char it) {
            return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
        });
    }

    /// \brief Parses a decimal number without sign or leading zero.
    /// \returns nullopt if malformed or above \p maximum
    std::optional<std::uint32_t> parseDecimal(std::string_view text, std::uint32_t maximum)
    {
        std::uint32_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || end != text.data() + text.size() || (text.size() > 1 && text.front() == '0'))
            return std::nullopt;
        return value <= maximum ? std::optional(value) : std::nullopt;
    }

    std::optional<std::uint32_t> parseIpv4(std::string_view text)
    {
        // inet_pton() stops at a NUL byte and would accept a text with any bytes after it.
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

    /// \brief Whether a path needs no decoding or normalization, so that prefixes can be compared byte by byte.
    bool isPlainPath(std::string_view text)
    {
        constexpr std::string_view punctuation = "/-._~!$&'()*+,;=:@";
        if (text.empty() || text.size() > limits::maxPathPrefixBytes || text.front() != '/')
            return false;
        if (!std::all_of(text.begin(), text.end(), [punctuation](char it) {
                return isAlphanumeric(it) || punctuation.find(it) != std::string_view::npos;
            }))
            return false;
        const auto withTrailingSlash = std::string(text) + '/';
        return text.find("//") == std::string_view::npos && withTrailingSlash.find("/./") == std::string::npos
            && withTrailingSlash.find("/../") == std::string::npos;
    }

} // namespace

std::optional<AddressBlock> parseCidr(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto address = parseIpv4(text.substr(0, slash));
    const auto length = parseDecimal(text.substr(slash + 1), ipv4Bits);
    if (!address || !length)
        return std::nullopt;
    const std::uint32_t hostMask = *length == ipv4Bits ? 0U : ~0U >> *length;
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
    case Format::OpenPathPrefix:
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
        return "1 to 64 characters of A-Z a-z 0-9 . _ -, the first a letter or digit";
    case Format::KeyId:
        return "1 to 64 characters of A-Z a-z 0-9 _ -, the first a letter or digit";
    case Format::Digest:
        return "64 lower-case hex digits";
    case Format::Address:
        return "IPv4 address and port from 1 to 65535, for example 10.0.0.1:80";
    case Format::PathPrefix:
        return "path of 1 to 256 bytes that begins and ends with '/', without percent-encoding, empty or dot segments";
    case Format::OpenPathPrefix:
        return "path of 1 to 256 bytes that begins with '/', without percent-encoding, empty or dot segments";
    case Format::Cidr:
        return "IPv4 block in CIDR notation with all host bits 0, for example 10.1.0.0/16";
    }
    return "";
}

} // namespace arbutuscrank::config
