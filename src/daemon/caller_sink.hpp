#pragma once

#include "daemon/answer_sink.hpp"

#include <string>
#include <string_view>
#include <vector>

struct mg_connection;

/// \file
/// \brief \ref AnswerSink that sends answers to a caller.

namespace arbutuscrank {

/// \brief Sends the answer to one request on a CivetWeb connection.
class CallerSink final : public AnswerSink {
public:
    /// \param closeAfterAnswer whether the connection is closed after the answer
    CallerSink(mg_connection* connection, bool closeAfterAnswer) noexcept
        : m_connection(connection)
        , m_closeAfterAnswer(closeAfterAnswer)
    {
    }

    [[nodiscard]] bool start(int status, const HeaderList& headers, std::optional<std::uint64_t> length) override;
    [[nodiscard]] bool write(std::span<const std::uint8_t> bytes) override;
    void finish() override;
    void abort() override;
    void refuse(const Refusal& refusal) override;

    /// \brief Sends a complete JSON answer.
    /// \param headers header lines without line ends
    void sendJson(int status, std::string_view body, const std::vector<std::string>& headers);

private:
    [[nodiscard]] std::string formatHead(int status) const;

    mg_connection* m_connection;
    bool m_closeAfterAnswer;
    bool m_isChunked = false;
};

} // namespace arbutuscrank
