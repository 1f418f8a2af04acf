#pragma once

#include "peer/codec_fields.hpp"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <string>
#include <type_traits>

/// \file
/// \brief Archives that convert messages to and from a tree of values, by the field lists of codec_fields.hpp.

namespace arbutuscrank::peer {

using Tree = nlohmann::json;

/// Length of a SHA-256 in hexadecimal. Messages carry it as 32 bytes.
inline constexpr std::size_t hashHexLength = 64;

/// \brief Encodes a SHA-256 in lower-case hexadecimal as bytes, and any other text as text.
[[nodiscard]] Tree packHash(const std::string& hash);
/// \brief Reverses \ref packHash.
/// \returns false if the tree is neither text nor 32 bytes
[[nodiscard]] bool unpackHash(const Tree& tree, std::string& hash);

// --- Writing ---------------------------------------------------------------------------------------------------------

/// \brief Archive that writes fields to a tree. Fields whose value is zero, false or empty are omitted.
class TreeWriter {
public:
    template <typename T> void operator()(const char* name, T& value)
    {
        auto it = write(value);
        if (!isDefault(it))
            m_tree[name] = std::move(it);
    }

    void hashes(const char* name, std::vector<std::string>& values)
    {
        Tree list = Tree::array();
        for (const auto& it : values)
            list.push_back(packHash(it));
        if (!list.empty())
            m_tree[name] = std::move(list);
    }

    void hashes(const char* name, std::map<std::string, std::string>& values)
    {
        Tree object = Tree::object();
        for (const auto& [key, it] : values)
            object[key] = packHash(it);
        if (!object.empty())
            m_tree[name] = std::move(object);
    }

    [[nodiscard]] Tree take() { return std::move(m_tree); }

private:
    static bool isDefault(const Tree& it)
    {
        switch (it.type()) {
        case Tree::value_t::number_integer:
        case Tree::value_t::number_unsigned:
            return it == 0;
        case Tree::value_t::boolean:
            return !it.get<bool>();
        case Tree::value_t::string:
            return it.get_ref<const std::string&>().empty();
        default:
            return it.empty();
        }
    }

    template <typename T> static Tree write(T& value)
    {
        if constexpr (std::is_enum_v<T>)
            return static_cast<std::underlying_type_t<T>>(value);
        else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>)
            return value;
        else
            return writeStructure(value);
    }
    template <typename T> static Tree writeStructure(std::vector<T>& values)
    {
        Tree list = Tree::array();
        for (auto& it : values)
            list.push_back(write(it));
        return list;
    }
    template <typename T> static Tree writeStructure(std::map<std::string, T>& values)
    {
        Tree object = Tree::object();
        for (auto& [key, it] : values)
            object[key] = write(it);
        return object;
    }
    template <typename T> static Tree writeStructure(T& value)
    {
        TreeWriter writer;
        visitFields(writer, value);
        return writer.take();
    }

    Tree m_tree = Tree::object();
};

// --- Reading ---------------------------------------------------------------------------------------------------------

/// \brief Archive that reads fields from a tree. A missing field is set to T {}, the value that TreeWriter omits, not
/// to the initializer of the member. A field of the wrong type or out of range makes \ref ok false.
class TreeReader {
public:
    explicit TreeReader(const Tree& tree)
        : m_tree(tree)
        , m_ok(tree.is_object())
    {
    }

    [[nodiscard]] bool ok() const noexcept { return m_ok; }

    template <typename T> void operator()(const char* name, T& value)
    {
        const auto* it = find(name);
        if (it == nullptr)
            value = T {};
        else
            m_ok = m_ok && read(*it, value);
    }

    void hashes(const char* name, std::vector<std::string>& values)
    {
        values.clear();
        const auto* it = find(name);
        if (it == nullptr)
            return;
        m_ok = m_ok && it->is_array();
        for (std::size_t n = 0; m_ok && n < it->size(); ++n)
            m_ok = unpackHash((*it)[n], values.emplace_back());
    }

    void hashes(const char* name, std::map<std::string, std::string>& values)
    {
        values.clear();
        const auto* it = find(name);
        if (it == nullptr)
            return;
        m_ok = m_ok && it->is_object();
        if (!m_ok)
            return;
        for (auto member = it->begin(); m_ok && member != it->end(); ++member)
            m_ok = unpackHash(*member, values[member.key()]);
    }

private:
    const Tree* find(const char* name) const
    {
        if (!m_ok)
            return nullptr;
        const auto it = m_tree.find(name);
        return it == m_tree.end() ? nullptr : &*it;
    }

    static bool read(const Tree& tree, std::string& value)
    {
        if (!tree.is_string())
            return false;
        value = tree.get_ref<const std::string&>();
        return true;
    }
    static bool read(const Tree& tree, bool& value)
    {
        if (!tree.is_boolean())
            return false;
        value = tree.get<bool>();
        return true;
    }
    static bool read(const Tree& tree, RecordState& value)
    {
        std::uint32_t number = 0;
        if (!read(tree, number) || number > static_cast<std::uint32_t>(RecordState::NotRun))
            return false;
        value = static_cast<RecordState>(number);
        return true;
    }
    template <std::unsigned_integral T> static bool read(const Tree& tree, T& value)
    {
        if (!tree.is_number_unsigned() || tree.get<std::uint64_t>() > std::numeric_limits<T>::max())
            return false;
        value = tree.get<T>();
        return true;
    }
    static bool read(const Tree& tree, std::int64_t& value)
    {
        constexpr auto limit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (!tree.is_number_integer() || (tree.is_number_unsigned() && tree.get<std::uint64_t>() > limit))
            return false;
        value = tree.get<std::int64_t>();
        return true;
    }
    template <typename T> static bool read(const Tree& tree, std::vector<T>& values)
    {
        if (!tree.is_array())
            return false;
        values.clear();
        for (const auto& it : tree) {
            if (!read(it, values.emplace_back()))
                return false;
        }
        return true;
    }
    template <typename T> static bool read(const Tree& tree, std::map<std::string, T>& values)
    {
        if (!tree.is_object())
            return false;
        values.clear();
        for (auto it = tree.begin(); it != tree.end(); ++it) {
            if (!read(*it, values[it.key()]))
                return false;
        }
        return true;
    }
    template <typename T>
    requires std::is_class_v<T>
    static bool read(const Tree& tree, T& value)
    {
        TreeReader reader(tree);
        if (reader.ok())
            visitFields(reader, value);
        return reader.ok();
    }

    const Tree& m_tree;
    bool m_ok;
};

} // namespace arbutuscrank::peer
