#pragma once

#include "node/http_fields.hpp"

#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <limits>

/// \file
/// \brief Parser of HTTP messages from outside.

namespace arbutuscrank::node {

/// \brief Parser that ends with a \ref FieldError where the one of Boost.Beast throws or has no limit. All messages
/// from outside are read with it.
///
/// \code
/// MessageParser<false, http::string_body> parser;
/// parser.header_limit(headBytes);
/// parser.setTrailerLimit(trailerBytes);
/// http::async_read(socket, buf, parser, handler);
/// \endcode
template <bool isRequest, typename Body> class MessageParser : public http::parser<isRequest, Body> {
public:
    /// \brief Limits the bytes of the fields behind the body. The default is that of Boost.Beast for a head.
    void setTrailerLimit(std::size_t bytes) noexcept { m_maxTrailerBytes = bytes; }
    /// \brief Limits the number of fields in head and trailer together.
    void setFieldLimit(std::size_t n) noexcept { m_maxFields = n; }

private:
    static constexpr std::size_t defaultTrailerBytes = 8U << 10U;
    /// Colon and line end of a field.
    static constexpr std::size_t separatorBytes = 3;

    /// Boost.Beast calls this for each field that it has parsed: those of the head, then those of the trailer.
    void on_field_impl(
        http::field name, boost::beast::string_view nameText, boost::beast::string_view value, SystemError& ec) override
    {
        ec = checkFieldLength({ nameText.data(), nameText.size() }, { value.data(), value.size() });
        if (!ec && ++m_fields > m_maxFields)
            ec = toErrorCode(FieldError::TooManyFields);
        if (this->is_header_done()) {
            m_trailerBytes += nameText.size() + value.size() + separatorBytes;
            if (!ec && m_trailerBytes > m_maxTrailerBytes)
                ec = toErrorCode(FieldError::TrailerTooLong);
        }
        if (!ec)
            this->get().insert(name, nameText, value);
    }

    std::size_t m_maxTrailerBytes = defaultTrailerBytes;
    std::size_t m_maxFields = std::numeric_limits<std::size_t>::max();
    std::size_t m_trailerBytes = 0;
    std::size_t m_fields = 0;
};

} // namespace arbutuscrank::node
