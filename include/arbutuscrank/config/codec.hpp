#pragma once

#include <arbutuscrank/config/document.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Converts documents to JSON and to the immutable parts that the store keeps, and compares documents.

namespace arbutuscrank {

/// \brief Canonical JSON of a document: sorted keys and no white space, so that equal documents have equal text.
[[nodiscard]] std::string toJson(const Document& document);

/// \brief Indented JSON of a document, for display.
[[nodiscard]] std::string toPrettyJson(const Document& document);

/// \brief Sorts accounts and services by name, and client blocks by address.
///
/// splitDocument() does not preserve the order of these lists. parseDocument() and joinDocument() return normalized
/// documents, so that splitting and joining a parsed document gives an equal document.
void normalize(Document& document);

/// Maximum size of a part, in bytes. The store accepts no larger object.
inline constexpr std::size_t maxPartBytes = 1'000'000;

/// \brief Splits a document into named parts of canonical JSON text.
///
/// Each part of a valid document has at most \ref maxPartBytes. A change of one account changes only one part.
/// \returns the text of each part by its name, for example "regions" or "accounts/07"
[[nodiscard]] std::map<std::string, std::string> splitDocument(const Document& document);

/// \brief Joins the parts that splitDocument() returned into a document.
/// \returns nullopt if a part has an unknown name, is malformed or too large, or if the document is not valid
[[nodiscard]] std::optional<Document> joinDocument(const std::map<std::string, std::string>& parts);

/// \brief SHA-256 digest of a text, as 64 lower-case hex digits.
[[nodiscard]] std::string sha256Hex(std::string_view text);

/// \brief One difference between two documents.
struct Difference {
    std::string path; ///< JSON pointer with names in place of indexes, for example "/accounts/acme/ratePerSecond"
    std::string before; ///< canonical JSON; empty if the value was added
    std::string after; ///< canonical JSON; empty if the value was removed
};

/// \brief Lists the differences between two documents.
///
/// List elements are matched by name. A list whose elements have no distinct names is reported as one difference.
[[nodiscard]] std::vector<Difference> diffDocuments(const Document& before, const Document& after);

} // namespace arbutuscrank
