#pragma once

#include "peer/session.hpp"

#include <charconv>
#include <string>

/// \file
/// \brief Headers that identify the sending process.

namespace arbutuscrank::peer {

/// \brief Parses a decimal number.
/// \returns false if the text is anything else or the number is out of range
template <typename T> [[nodiscard]] bool parseNumber(std::string_view text, T& value) noexcept
{
    const auto* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc {} && last == end;
}

/// \brief Headers of a process. The header fields refer to this object, which must outlive them.
class ProcessHeaders {
public:
    explicit ProcessHeaders(const ProcessId& process)
        : m_vm(process.vm)
        , m_incarnation(std::to_string(process.incarnation))
    {
    }

    [[nodiscard]] nghttp2_nv vm() const noexcept { return makeHeader(vmHeader, m_vm); }
    [[nodiscard]] nghttp2_nv incarnation() const noexcept { return makeHeader(incarnationHeader, m_incarnation); }

private:
    std::string m_vm;
    std::string m_incarnation;
};

/// \brief Stores a header that identifies the process; other headers are ignored.
/// \returns false if the incarnation is not a number
[[nodiscard]] inline bool readProcessHeader(std::string_view name, std::string_view value, ProcessId& process)
{
    if (name == vmHeader)
        process.vm = value;
    else if (name == incarnationHeader)
        return parseNumber(value, process.incarnation);
    return true;
}

} // namespace arbutuscrank::peer
