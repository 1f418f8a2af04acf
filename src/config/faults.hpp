#pragma once

#include <arbutuscrank/config/limits.hpp>
#include <arbutuscrank/config/validate.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Collects validation faults and formats their paths and texts.

namespace arbutuscrank::config {

/// \brief Path of a value in a document.
///
/// A path refers to its parent, which must outlive it. The text is built only when a fault is reported, so that
/// validating a large document allocates no paths.
class Path {
public:
    /// \brief Path of the whole document.
    Path() = default;
    [[nodiscard]] Path field(std::string_view name) const { return { this, name, false, 0 }; }
    [[nodiscard]] Path element(std::size_t index) const { return { this, {}, true, index }; }

    /// \brief The path as a JSON pointer (RFC 6901).
    [[nodiscard]] std::string text() const;

private:
    Path(const Path* parent, std::string_view name, bool isElement, std::size_t index)
        : m_parent(parent)
        , m_name(name)
        , m_isElement(isElement)
        , m_index(index)
    {
    }

    const Path* m_parent = nullptr;
    std::string_view m_name;
    bool m_isElement = false; ///< whether this is an array element, with m_index, or a field, with m_name
    std::size_t m_index = 0;
};

/// \brief Escapes one token of a JSON pointer.
[[nodiscard]] std::string escapePointer(std::string_view token);

/// \brief Truncates a UTF-8 text to \ref limits::maxFoundCharacters characters.
[[nodiscard]] std::string truncateText(std::string_view text);

/// \brief Formats a text as a truncated JSON string. Control characters are escaped and invalid UTF-8 is replaced.
[[nodiscard]] std::string quote(std::string_view text);

/// \brief Formats a number in decimal notation without an exponent.
[[nodiscard]] std::string formatNumber(double value);

/// \brief Formats a range with its unit, for example "0 to 100 percent".
[[nodiscard]] std::string describe(const limits::Range& range);

/// \brief List of faults in the order of their detection. Keeps at most \ref limits::maxListedFaults and counts the
/// rest.
class FaultList {
public:
    void add(const Path& path, std::string limit, std::string found) { add(path.text(), std::move(limit), found); }
    void add(std::string path, std::string limit, std::string_view found);
    [[nodiscard]] bool empty() const noexcept { return m_faults.empty(); }
    [[nodiscard]] const std::vector<Fault>& faults() const noexcept { return m_faults; }

    /// \brief Moves the faults out of the list, with a last entry that gives the number of faults left out, if any.
    [[nodiscard]] std::vector<Fault> take();

private:
    std::vector<Fault> m_faults;
    std::size_t m_omittedCount = 0;
};

} // namespace arbutuscrank::config
