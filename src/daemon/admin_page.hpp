#pragma once

#include <string_view>

/// \file
/// \brief Web page with forms for the operators' interface.

namespace arbutuscrank {

/// \brief Returns the HTML of the page. Its script calls only the operators' API.
[[nodiscard]] std::string_view adminPage() noexcept;

} // namespace arbutuscrank
