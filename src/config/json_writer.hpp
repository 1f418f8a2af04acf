#pragma once

#include "config/fields.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Writes document structures as JSON values.

namespace arbutuscrank::config {

/// \brief Visitor for visitFields() that fills a JSON object. It also writes fields that have their default value.
class ObjectWriter {
public:
    /// \brief Writes a structure as a JSON object.
    template <typename T> [[nodiscard]] static nlohmann::json write(const T& value)
    {
        ObjectWriter writer;
        visitFields(value, writer);
        return std::move(writer.m_node);
    }

    /// \brief Writes a list of structures as a JSON array.
    template <typename T> [[nodiscard]] static nlohmann::json writeList(const std::vector<T>& values)
    {
        auto node = nlohmann::json::array();
        for (const auto& it : values)
            node.push_back(write(it));
        return node;
    }

    void visitText(std::string_view name, const std::string& value, Format /*format*/) { setField(name, value); }

    void visitTexts(
        std::string_view name, const std::vector<std::string>& values, Format /*format*/, std::size_t /*maxElements*/)
    {
        setField(name, values);
    }

    template <typename T>
    void visitList(std::string_view name, const std::vector<T>& values, std::size_t /*maxElements*/)
    {
        setField(name, writeList(values));
    }

    template <typename T> void visitObject(std::string_view name, const T& value) { setField(name, write(value)); }

    template <typename T> void visitNumber(std::string_view name, T value, const limits::Range& /*range*/)
    {
        // Adding zero turns -0.0 into 0.0, so that equal documents have equal text.
        setField(name, static_cast<T>(value + T {}));
    }

    void visitFlag(std::string_view name, bool value) { setField(name, value); }
    void visitKind(std::string_view name, DrainKind value);

private:
    void setField(std::string_view name, nlohmann::json value) { m_node[std::string(name)] = std::move(value); }

    nlohmann::json m_node = nlohmann::json::object();
};

/// \brief Canonical JSON text of a tree. Replaces invalid UTF-8, which a document that was not validated may contain.
[[nodiscard]] std::string canonicalText(const nlohmann::json& node);

} // namespace arbutuscrank::config
