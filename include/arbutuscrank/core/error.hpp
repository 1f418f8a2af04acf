#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief The error type of all libraries, with the step and the peer at which the error occurred.

namespace arbutuscrank {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// \brief Kind of a failure, for callers that handle kinds differently.
enum class ErrorCode {
    InvalidArgument, ///< input breaks a documented limit
    NotFound, ///< the object does not exist
    Conflict, ///< the object does not have the version that a conditional update expects
    Unavailable, ///< the other side was unreachable or refused the call; the call had no effect
    Unknown, ///< the call may have taken effect
    Timeout, ///< no answer arrived in time; the call may have taken effect
    Protocol, ///< the other side violated the protocol
};

/// \brief An error with the step and the peer at which it occurred.
struct Error {
    ErrorCode code = ErrorCode::Unavailable;
    std::string step; ///< operation that failed, for example "store.put"
    std::string peer; ///< address or name of the other side; empty if there is none
    std::string detail; ///< human-readable description of what was found
};

/// \brief A value or an \ref Error.
template <typename T> using Result = outcome::basic_result<T, Error, outcome::policy::all_narrow>;

/// \brief Name of an error code in logs and answers.
[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

/// \brief Formats an error as one line: "step peer: code: detail".
[[nodiscard]] std::string describe(const Error& error);

} // namespace arbutuscrank
