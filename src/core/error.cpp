#include <arbutuscrank/core/error.hpp>

namespace arbutuscrank {

std::string_view toString(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Protocol:
        return "protocol";
    }
    return "unknown";
}

std::string describe(const Error& error)
{
    std::string text = error.step;
    if (!error.peer.empty()) {
        text += ' ';
        text += error.peer;
    }
    text += ": ";
    text += toString(error.code);
    if (!error.detail.empty()) {
        text += ": ";
        text += error.detail;
    }
    return text;
}

} // namespace arbutuscrank
