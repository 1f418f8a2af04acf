#pragma once

#include <arbutuscrank/config/document.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Parsing and validation of a configuration document. A document is accepted whole or refused.

namespace arbutuscrank {

/// \brief One fault of a document.
struct Fault {
    std::string path; ///< JSON pointer, for example "/accounts/3/ratePerSecond"
    std::string limit; ///< what is allowed, for example "0 to 1000000 requests/s"
    std::string found; ///< what the document has, cut to 80 characters
};

/// \brief A valid document, or every fault found.
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
/// \returns the document, or all faults (never an empty list)
[[nodiscard]] ParsedDocument parseDocument(std::string_view json);

/// \brief Faults of a document in memory; empty if it is valid.
[[nodiscard]] std::vector<Fault> validate(const Document& document);

} // namespace arbutuscrank
