#pragma once

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/peer/transport.hpp>

#include <cstdint>
#include <optional>
#include <span>

/// \file
/// \brief Where the answer to a request goes: a caller's connection, or the entry that forwarded the request.

namespace arbutuscrank {

/// \brief Receiver of one answer. Used by one thread.
class AnswerSink {
public:
    AnswerSink() = default;
    AnswerSink(const AnswerSink&) = delete;
    AnswerSink& operator=(const AnswerSink&) = delete;
    virtual ~AnswerSink() = default;

    /// \brief Sends the head. \param length of the body in bytes; absent if the target did not say
    /// \returns false if the receiver went away
    [[nodiscard]] virtual bool start(int status, const HeaderList& headers, std::optional<std::uint64_t> length) = 0;
    /// \brief Sends part of the body. \returns false if the receiver went away
    [[nodiscard]] virtual bool write(std::span<const std::uint8_t> bytes) = 0;
    /// \brief The answer is whole.
    virtual void finish() = 0;
    /// \brief The answer was cut short; the receiver must be able to tell.
    virtual void abort() = 0;
    /// \brief Tells the receiver that there is no answer of a target.
    virtual void refuse(const Refusal& refusal) = 0;
};

} // namespace arbutuscrank
