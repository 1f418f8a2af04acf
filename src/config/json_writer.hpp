#pragma once

#include "config/fields.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Writes document structures as JSON values.

namespace arbutuscrank::config {

/// \brief Visitor of `visitFields` that fills a JSON object; all fields are written.
class ObjectWriter {
public:
    template <typename T> [[nodiscard]] static nlohmann::json write(const T& value)
    {
        ObjectWriter writer;
        visitFields(value, writer);
        return std::move(writer.m_node);
    }

    template <typename T> [[nodiscard]] static nlohmann::json writeList(const std::vector<T>& values)
    {
        auto node = nlohmann::json::array();
        for (const auto& it : values)
            node.push_back(write(it));
        return node;
    }

    void text(std::string_view name, const std::string& value, Format /*format*/) { set(name, value); }

    void texts(std::string_view name, const std::vector<std::string>& values, Format /*format*/, std::size_t /*most*/)
    {
        set(name, values);
    }

    template <typename T> void list(std::string_view name, const std::vector<T>& values, std::size_t /*most*/)
    {
        set(name, writeList(values));
    }

    template <typename T> void object(std::string_view name, const T& value) { set(name, write(value)); }

    template <typename T> void number(std::string_view name, T value, const limits::Range& /*range*/)
    {
        // Adding zero turns -0.0 into 0.0: equal documents have equal text.
        set(name, static_cast<T>(value + T {}));
    }

    void flag(std::string_view name, bool value) { set(name, value); }
    void kind(std::string_view name, DrainKind value);

private:
    void set(std::string_view name, nlohmann::json value) { m_node[std::string(name)] = std::move(value); }

    nlohmann::json m_node = nlohmann::json::object();
};

/// \brief Canonical text of a tree; invalid UTF-8 of a document that was never validated is replaced.
[[nodiscard]] std::string canonicalText(const nlohmann::json& node);

} // namespace arbutuscrank::config
