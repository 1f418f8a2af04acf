#pragma once

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/peer/transport.hpp>

#include <cstdint>
#include <optional>
#include <span>

/// \file
/// \brief Destination of the answer to a request: the caller's connection, or the entry that forwarded the request.

namespace arbutuscrank {

/// \brief Sends one answer to its receiver. Not thread-safe.
class AnswerSink {
public:
    AnswerSink() = default;
    AnswerSink(const AnswerSink&) = delete;
    AnswerSink& operator=(const AnswerSink&) = delete;
    virtual ~AnswerSink() = default;

    /// \brief Sends the status and headers of the answer.
    /// \param length length of the body in bytes; nullopt if the target did not announce it
    /// \returns false if the receiver has disconnected
    [[nodiscard]] virtual bool start(int status, const HeaderList& headers, std::optional<std::uint64_t> length) = 0;
    /// \brief Sends part of the body.
    /// \returns false if the receiver has disconnected
    [[nodiscard]] virtual bool write(std::span<const std::uint8_t> bytes) = 0;
    /// \brief Ends a complete answer.
    virtual void finish() = 0;
    /// \brief Ends an incomplete answer in a way that the receiver can detect.
    virtual void abort() = 0;
    /// \brief Sends a refusal in place of an answer of a target.
    virtual void refuse(const Refusal& refusal) = 0;
};

} // namespace arbutuscrank
