#pragma once

#include "daemon/incoming_request.hpp"

#include <string_view>

/// \file
/// \brief Access to the headers of CivetWeb requests and answers.

namespace arbutuscrank {

/// \brief Returns the value of a header, or an empty text. Names are compared case-insensitively.
/// \param info mg_request_info or mg_response_info
template <typename Info> [[nodiscard]] std::string_view findHeader(const Info& info, std::string_view name) noexcept
{
    for (int n = 0; n < info.num_headers; ++n) {
        if (equalsIgnoringCase(info.http_headers[n].name, name))
            return info.http_headers[n].value;
    }
    return {};
}

} // namespace arbutuscrank
