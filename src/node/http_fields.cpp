#include "node/http_fields.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace arbutuscrank::node {

namespace {

    class FieldErrorCategory : public boost::system::error_category {
    public:
        [[nodiscard]] const char* name() const noexcept override { return "arbutuscrank.fields"; }
        [[nodiscard]] std::string message(int value) const override
        {
            switch (static_cast<FieldError>(value)) {
            case FieldError::NameTooLong:
                return fmt::format("the name of a field is longer than {} bytes", maxFieldTextBytes);
            case FieldError::ValueTooLong:
                return fmt::format("the value of a field is longer than {} bytes", maxFieldTextBytes);
            case FieldError::TrailerTooLong:
                return "the trailer fields are larger than their limit";
            case FieldError::TooManyFields:
                return "the message has more fields than its limit";
            }
            return "unknown error";
        }
    };

    const boost::system::error_category& fieldErrorCategory() noexcept
    {
        static const FieldErrorCategory category;
        return category;
    }

} // namespace

SystemError toErrorCode(FieldError error) noexcept { return { static_cast<int>(error), fieldErrorCategory() }; }

SystemError checkFieldLength(std::string_view name, std::string_view value) noexcept
{
    if (name.size() > maxFieldTextBytes)
        return toErrorCode(FieldError::NameTooLong);
    if (value.size() > maxFieldTextBytes)
        return toErrorCode(FieldError::ValueTooLong);
    return {};
}

bool isFieldValue(std::string_view text) noexcept
{
    constexpr char firstPrintable = ' ';
    constexpr char deleteCharacter = '\x7f';
    const auto isControl
        = [](char it) { return static_cast<unsigned char>(it) < firstPrintable || it == deleteCharacter; };
    return !text.empty() && text.size() <= maxFieldTextBytes && text.front() != ' ' && text.back() != ' '
        && std::ranges::none_of(text, isControl);
}

Result<void> setField(http::fields& fields, std::string_view name, std::string_view value)
{
    if (!isFieldValue(value))
        return Error { ErrorCode::InvalidArgument, "field.set", {},
            fmt::format("{} must have 1 to {} bytes, no control characters and no space at its ends, found {} bytes",
                name, maxFieldTextBytes, value.size()) };
    fields.set({ name.data(), name.size() }, boost::beast::string_view(value.data(), value.size()));
    return outcome::success();
}

std::string describeReadError(SystemError ec)
{
    // The body is taken from the buffer as it arrives, so that only chunk extensions and trailers can fill it.
    return ec == http::error::buffer_overflow ? "a chunk extension or the trailer does not fit the read buffer"
                                              : ec.message();
}

http::status statusForReadError(SystemError ec) noexcept
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow || ec.category() == fieldErrorCategory())
        return http::status::request_header_fields_too_large;
    if (ec == http::error::body_limit)
        return http::status::payload_too_large;
    return http::status::bad_request;
}

bool isDisconnect(SystemError ec) noexcept
{
    return ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof
        || ec.category() == asio::error::get_system_category();
}

} // namespace arbutuscrank::node
