#pragma once

#include <arbutuscrank/config/limits.hpp>
#include <arbutuscrank/config/validate.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Collection of faults with their JSON pointer paths.

namespace arbutuscrank::config {

/// \brief A place in a document. A child refers to its parent on the stack; the text is built only for a fault.
class Path {
public:
    Path() = default;
    [[nodiscard]] Path field(std::string_view name) const { return { this, name, false, 0 }; }
    [[nodiscard]] Path element(std::size_t index) const { return { this, {}, true, index }; }

    /// \brief JSON pointer (RFC 6901).
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
    bool m_isElement = false; ///< of an array
    std::size_t m_index = 0;
};

/// \brief One token of a JSON pointer, escaped.
[[nodiscard]] std::string escapePointer(std::string_view token);

/// \brief Cuts a UTF-8 text to \ref limits::maxFoundCharacters characters.
[[nodiscard]] std::string cutText(std::string_view text);

/// \brief A text in quotation marks, cut; bytes that are not printable ASCII or valid UTF-8 are replaced.
[[nodiscard]] std::string quote(std::string_view text);

/// \brief Number in plain decimal notation.
[[nodiscard]] std::string formatNumber(double value);

/// \brief For example "0 to 100 percent".
[[nodiscard]] std::string describe(const limits::Range& range);

/// \brief Faults in the order found, bounded by \ref limits::maxListedFaults.
class FaultList {
public:
    void add(const Path& path, std::string limit, std::string found) { add(path.text(), std::move(limit), found); }
    void add(std::string path, std::string limit, std::string_view found);
    [[nodiscard]] bool empty() const noexcept { return m_faults.empty(); }
    [[nodiscard]] const std::vector<Fault>& faults() const noexcept { return m_faults; }

    /// \brief Faults, with one further entry if the list was cut.
    [[nodiscard]] std::vector<Fault> take();

private:
    std::vector<Fault> m_faults;
    std::size_t m_unlisted = 0;
};

} // namespace arbutuscrank::config
