#pragma once

#include <arbutuscrank/peer/transport.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief A request as it came in, and which of its headers may go on.

namespace arbutuscrank {

/// \brief A request with its whole body.
struct IncomingRequest {
    std::string method;
    std::string path; ///< with query
    HeaderList headers; ///< only those that may go on to a target
    std::string body;
};

/// \brief Whether a header of a caller may go on to a target: not a key, not hop-by-hop, not one that entries set.
[[nodiscard]] bool mayPassToTarget(std::string_view headerName) noexcept;

/// \brief Whether a header of a target's answer may go on to the caller: not hop-by-hop, not one that entries set.
[[nodiscard]] bool mayPassToCaller(std::string_view headerName) noexcept;

/// \brief Header name as HTTP/2 requires it between entries, and HTTP/1.1 allows it.
[[nodiscard]] std::string lowerCaseName(std::string_view headerName);

/// \brief Compares ASCII text without case.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept;

/// \brief Value of a header, or empty. Names are compared without case.
[[nodiscard]] std::string_view headerValue(const HeaderList& headers, std::string_view name) noexcept;

} // namespace arbutuscrank
