#pragma once

#include <string_view>

/// \file
/// \brief The page of forms for operators.

namespace arbutuscrank {

/// \brief HTML of the page; it uses only the operators' API.
[[nodiscard]] std::string_view adminPage() noexcept;

} // namespace arbutuscrank
