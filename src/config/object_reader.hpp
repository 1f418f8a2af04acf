#pragma once

#include "config/fields.hpp"
#include "config/json_parser.hpp"

#include <array>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Reads JSON objects into document structures.
///
/// Reports each field that is missing, unknown or of the wrong type. checkDocument() checks the values later.

namespace arbutuscrank::config {

/// Names of the enumerators of \ref DrainKind in JSON, in their order.
inline constexpr std::array<std::string_view, 5> drainKindNames { "target", "vm", "failureDomain", "region", "site" };

/// \brief Visitor for visitFields() that fills a structure from a JSON object.
///
/// The node, path and fault list must outlive the reader.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& node, const Path& path, FaultList& faults)
        : m_node(node)
        , m_path(path)
        , m_faults(faults)
    {
    }

    /// \brief Reads a structure from a JSON object and reports unknown fields.
    template <typename T> static void read(const nlohmann::json& node, const Path& path, FaultList& faults, T& value)
    {
        if (!node.is_object()) {
            faults.add(path, "an object", describeValue(node));
            return;
        }
        ObjectReader reader(node, path, faults);
        visitFields(value, reader);
        reader.reportUnknownFields();
    }

    void visitText(std::string_view name, std::string& value, Format /*format*/)
    {
        if (const auto* node = findRequired(name, "text"))
            readText(*node, m_path.field(name), value);
    }

    void visitTexts(
        std::string_view name, std::vector<std::string>& values, Format /*format*/, std::size_t /*maxElements*/)
    {
        readArray(name, values,
            [this](const nlohmann::json& node, const Path& path, std::string& value) { readText(node, path, value); });
    }

    template <typename T> void visitList(std::string_view name, std::vector<T>& values, std::size_t /*maxElements*/)
    {
        readArray(name, values,
            [this](const nlohmann::json& node, const Path& path, T& value) { read(node, path, m_faults, value); });
    }

    template <typename T> void visitObject(std::string_view name, T& value)
    {
        if (const auto* node = findRequired(name, "object"))
            read(*node, m_path.field(name), m_faults, value);
    }

    template <typename T> void visitNumber(std::string_view name, T& value, const limits::Range& range)
    {
        const auto* node = findOptional(name);
        if (node == nullptr)
            return;
        constexpr bool isInteger = std::numeric_limits<T>::is_integer;
        bool fits = node->is_number();
        if constexpr (isInteger)
            fits = node->is_number_unsigned() && node->get<std::uint64_t>() <= std::numeric_limits<T>::max();
        if (fits)
            value = node->get<T>();
        else
            m_faults.add(m_path.field(name), std::string(isInteger ? "an integer, " : "a number, ") + describe(range),
                describeValue(*node));
    }

    void visitFlag(std::string_view name, bool& value);
    void visitKind(std::string_view name, DrainKind& value);

    /// \brief Adds a fault for each field of the object that has not been read.
    void reportUnknownFields();

private:
    /// \returns nullptr if the field is missing
    [[nodiscard]] const nlohmann::json* findOptional(std::string_view name);
    /// Adds a fault and returns nullptr if the field is missing.
    [[nodiscard]] const nlohmann::json* findRequired(std::string_view name, std::string_view type);
    void readText(const nlohmann::json& node, const Path& path, std::string& value);

    template <typename T, typename ReadElement>
    void readArray(std::string_view name, std::vector<T>& values, ReadElement readElement)
    {
        const auto* node = findRequired(name, "array");
        if (node == nullptr)
            return;
        const auto path = m_path.field(name);
        if (!node->is_array()) {
            m_faults.add(path, "an array", describeValue(*node));
            return;
        }
        values.resize(node->size());
        for (std::size_t n = 0; n < values.size(); ++n)
            readElement((*node)[n], path.element(n), values[n]);
    }

    const nlohmann::json& m_node;
    const Path& m_path;
    FaultList& m_faults;
    std::vector<std::string_view> m_readFields;
};

} // namespace arbutuscrank::config
