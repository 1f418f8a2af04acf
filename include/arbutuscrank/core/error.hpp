#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief The error type of all libraries: what failed, at which step, and with which peer.

namespace arbutuscrank {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// \brief Class of a failure, for callers that react to it.
enum class ErrorCode {
    InvalidArgument, ///< input breaks a documented limit
    NotFound, ///< the object does not exist
    Conflict, ///< a conditional update met another version
    Unavailable, ///< the other side could not be reached or refused; the call had no effect
    Unknown, ///< the call may have taken effect
    Timeout, ///< no answer in time; the call may have taken effect
    Protocol, ///< the other side sent something that breaks the protocol
};

/// \brief An error with the step and the peer at which it arose.
struct Error {
    ErrorCode code = ErrorCode::Unavailable;
    std::string step; ///< operation that failed, for example "store.put"
    std::string peer; ///< address or name of the other side; empty when there is none
    std::string detail; ///< what was found, in words
};

/// \brief A value or an \ref Error.
template <typename T> using Result = outcome::basic_result<T, Error, outcome::policy::all_narrow>;

/// \brief Name of an error code, as used in logs and answers.
[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

/// \brief One line: "step peer: code: detail".
[[nodiscard]] std::string describe(const Error& error);

} // namespace arbutuscrank
