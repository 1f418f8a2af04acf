#include "daemon/incoming_request.hpp"

#include <algorithm>
#include <array>

namespace arbutuscrank {

namespace {

    /// Hop-by-hop headers, and Content-Length, which each hop writes itself.
    constexpr std::array<std::string_view, 9> hopByHopHeaders { "connection", "keep-alive", "proxy-authenticate", "te",
        "trailer", "transfer-encoding", "upgrade", "content-length", "proxy-connection" };

    /// Headers that carry keys, that only an entry may set for a target, or that are meant for the entry.
    constexpr std::array<std::string_view, 8> headersWithheldFromTargets { "authorization", "x-api-key",
        "proxy-authorization", "x-client-account", "x-deadline-ms", "host", "expect", "x-request-timeout-ms" };

    /// Headers that only an entry may set for a caller, or that a target sends to the entry.
    constexpr std::array<std::string_view, 3> headersWithheldFromCallers { "x-request-outcome", "x-refusal-reason",
        "x-load" };

    constexpr char toLowerAscii(char c) noexcept { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

    template <std::size_t N> bool contains(const std::array<std::string_view, N>& names, std::string_view name) noexcept
    {
        return std::any_of(
            names.begin(), names.end(), [name](std::string_view it) { return equalsIgnoringCase(it, name); });
    }

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLowerAscii(x) == toLowerAscii(y); });
}

std::string toLowerCaseName(std::string_view headerName)
{
    std::string name(headerName);
    std::transform(name.begin(), name.end(), name.begin(), &toLowerAscii);
    return name;
}

std::string_view headerValue(const HeaderList& headers, std::string_view name) noexcept
{
    for (const auto& [key, value] : headers) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

bool mayPassToTarget(std::string_view headerName) noexcept
{
    return !contains(hopByHopHeaders, headerName) && !contains(headersWithheldFromTargets, headerName);
}

bool mayPassToCaller(std::string_view headerName) noexcept
{
    return !contains(hopByHopHeaders, headerName) && !contains(headersWithheldFromCallers, headerName);
}

} // namespace arbutuscrank
