#pragma once

#include <arbutuscrank/config/document.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Parsing and validation of a configuration document. A document with any fault is refused as a whole.

namespace arbutuscrank {

/// \brief One validation error of a document.
struct Fault {
    std::string path; ///< JSON pointer, for example "/accounts/3/ratePerSecond"
    std::string limit; ///< allowed value, for example "0 to 1000000 requests/s"
    std::string found; ///< value in the document, truncated to 80 characters
};

/// \brief A valid document, or the faults of a document that is not.
using ParsedDocument = std::variant<Document, std::vector<Fault>>;

/// \brief Parses and validates a document in JSON.
///
/// \code
/// auto parsed = arbutuscrank::parseDocument(text);
/// if (auto* faults = std::get_if<std::vector<arbutuscrank::Fault>>(&parsed))
///     report(*faults);
/// \endcode
///
/// \param json UTF-8 text, at most 64 MiB
/// \returns the normalized document, or its faults (at least one)
[[nodiscard]] ParsedDocument parseDocument(std::string_view json);

/// \brief Validates a document in memory.
/// \returns its faults; empty if the document is valid
[[nodiscard]] std::vector<Fault> validate(const Document& document);

} // namespace arbutuscrank
