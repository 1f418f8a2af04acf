#pragma once

#include "daemon/answer_sink.hpp"

#include <string>
#include <string_view>
#include <vector>

struct mg_connection;

/// \file
/// \brief Sends answers to a caller's connection.

namespace arbutuscrank {

/// \brief Answer to one request on a CivetWeb connection.
class CallerSink final : public AnswerSink {
public:
    /// \param closing the connection ends after this answer
    CallerSink(mg_connection* connection, bool closing) noexcept
        : m_connection(connection)
        , m_closing(closing)
    {
    }

    [[nodiscard]] bool start(int status, const HeaderList& headers, std::optional<std::uint64_t> length) override;
    [[nodiscard]] bool write(std::span<const std::uint8_t> bytes) override;
    void finish() override;
    void abort() override;
    void refuse(const Refusal& refusal) override;

    /// \brief Sends a whole JSON answer. \param headers lines without line ends
    void sendJson(int status, std::string_view body, const std::vector<std::string>& headers);

private:
    [[nodiscard]] std::string head(int status) const;

    mg_connection* m_connection;
    bool m_closing;
    bool m_chunked = false;
};

} // namespace arbutuscrank
