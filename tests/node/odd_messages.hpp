#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// \brief HTTP messages with one very long part.

namespace arbutuscrank::node::test {

/// \brief The longest name or value that the HTTP library's fields can hold, and lengths above it.
inline constexpr std::array<std::size_t, 4> oddLengths { 65'533, 65'534, 65'535, 70'000 };

/// \brief The part of a message that is long.
enum class OddPart { FieldName, FieldValue, TrailerName, TrailerValue, ChunkExtension, StartLine };

inline constexpr std::array oddParts { OddPart::FieldName, OddPart::FieldValue, OddPart::TrailerName,
    OddPart::TrailerValue, OddPart::ChunkExtension, OddPart::StartLine };

inline std::string_view toString(OddPart part)
{
    constexpr std::array<std::string_view, oddParts.size()> names { "field name", "field value", "trailer name",
        "trailer value", "chunk extension", "start line" };
    return names.at(static_cast<std::size_t>(part));
}

/// \brief A complete chunked message with the body "done".
/// \param startLine without its end; a long one is continued with \p length bytes, which makes the reason phrase of an
/// answer long
/// \param fields of the head, each with its line end
inline std::string makeOddMessage(
    const std::string& startLine, const std::string& fields, OddPart part, std::size_t length)
{
    const std::string text(length, 'x');
    const auto textIf = [&](OddPart it) { return part == it ? text : std::string(); };
    auto out = startLine + textIf(OddPart::StartLine) + "\r\n" + fields;
    if (part == OddPart::FieldName)
        out += text + ": v\r\n";
    if (part == OddPart::FieldValue)
        out += "X-Long: " + text + "\r\n";
    out += "Transfer-Encoding: chunked\r\n\r\n4";
    if (part == OddPart::ChunkExtension)
        out += ';' + text;
    out += "\r\ndone\r\n0\r\n";
    if (part == OddPart::TrailerName)
        out += text + ": v\r\n";
    if (part == OddPart::TrailerValue)
        out += "X-Long: " + text + "\r\n";
    return out + "\r\n";
}

} // namespace arbutuscrank::node::test
