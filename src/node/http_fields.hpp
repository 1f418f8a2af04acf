#pragma once

#include "node/network.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/status.hpp>

#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// \brief Limits on the fields of HTTP messages, and a setter that checks them.

namespace arbutuscrank::node {

namespace http = boost::beast::http;

/// \brief Longest name, and longest value, of a field in bytes. Boost.Beast stores each length in 16 bits together with
/// a separator of two bytes, and throws std::length_error for longer texts.
inline constexpr std::size_t maxFieldTextBytes = 65'533;

/// \brief Why a message cannot be read because of its fields.
enum class FieldError {
    NameTooLong = 1, ///< over \ref maxFieldTextBytes
    ValueTooLong, ///< over \ref maxFieldTextBytes
    TrailerTooLong, ///< the fields behind the body exceed their limit
    TooManyFields,
};

[[nodiscard]] SystemError toErrorCode(FieldError error) noexcept;

/// \brief Checks that \ref http::fields can hold a field. \returns NameTooLong, ValueTooLong or no error
[[nodiscard]] SystemError checkFieldLength(std::string_view name, std::string_view value) noexcept;

/// \brief Whether a text arrives unchanged as the value of a field: it is neither empty nor too long, does not begin or
/// end with a space, and has no control character.
[[nodiscard]] bool isFieldValue(std::string_view text) noexcept;

/// \brief Sets a field of a message that is to be sent.
/// \returns InvalidArgument with the name and the length of the value, and the message unchanged, if the value would
/// not arrive unchanged
[[nodiscard]] Result<void> setField(http::fields& fields, std::string_view name, std::string_view value);

/// \brief Cause of a message that could not be read, for logs.
[[nodiscard]] std::string describeReadError(SystemError ec);

/// \brief Status of the answer to a request that could not be read: 431 if its fields or chunk extensions are too
/// large, 413 if its body is, else 400.
[[nodiscard]] http::status statusForReadError(SystemError ec) noexcept;

/// \brief Whether an error of a read means that the peer has closed the connection or that it has failed, so that
/// nobody is left to answer.
[[nodiscard]] bool isDisconnect(SystemError ec) noexcept;

} // namespace arbutuscrank::node
