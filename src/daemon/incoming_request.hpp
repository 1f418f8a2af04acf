#pragma once

#include <arbutuscrank/peer/transport.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief A request of a caller or of another entry, and the rules for passing on headers.

namespace arbutuscrank {

/// \brief A request with its complete body.
struct IncomingRequest {
    std::string method;
    std::string path; ///< with query
    HeaderList headers; ///< only those that may be passed to a target
    std::string body;
};

/// \brief Returns whether a header of a caller's request may be passed to a target. Keys, hop-by-hop headers and
/// headers that entries set or read themselves may not.
[[nodiscard]] bool mayPassToTarget(std::string_view headerName) noexcept;

/// \brief Returns whether a header of a target's answer may be passed to the caller. Hop-by-hop headers and headers
/// that entries set or read themselves may not.
[[nodiscard]] bool mayPassToCaller(std::string_view headerName) noexcept;

/// \brief Converts a header name to lower case, which HTTP/2 between entries requires and HTTP/1.1 allows.
[[nodiscard]] std::string toLowerCaseName(std::string_view headerName);

/// \brief Compares ASCII text case-insensitively.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept;

/// \brief Returns the value of a header, or an empty text. Names are compared case-insensitively.
[[nodiscard]] std::string_view headerValue(const HeaderList& headers, std::string_view name) noexcept;

} // namespace arbutuscrank
