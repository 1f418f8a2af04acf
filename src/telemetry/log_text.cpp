#include "telemetry/log_text.hpp"

#include <fmt/format.h>

#include <iterator>

namespace arbutuscrank {

namespace {

    void appendEscaped(std::string& out, char character)
    {
        constexpr unsigned char firstPrintable = ' ';
        constexpr unsigned char deleteCharacter = 0x7f;
        const auto byte = static_cast<unsigned char>(character);
        if (character == '\n')
            out += "\\n";
        else if (character == '\r')
            out += "\\r";
        else if (character == '\t')
            out += "\\t";
        else if (byte < firstPrintable || byte == deleteCharacter)
            fmt::format_to(std::back_inserter(out), "\\x{:02x}", byte);
        else
            out += character;
    }

} // namespace

std::string toLogText(std::string_view detail)
{
    std::string out;
    for (const char it : detail.substr(0, maxDetailBytes))
        appendEscaped(out, it);
    if (detail.size() > maxDetailBytes)
        out += fmt::format("... ({} more bytes)", detail.size() - maxDetailBytes);
    return out;
}

} // namespace arbutuscrank
