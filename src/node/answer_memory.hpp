#pragma once

#include "node/memory_share.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

/// \file
/// \brief Limit on the memory of all answers that the process holds.

namespace arbutuscrank::node {

/// \brief Counts the bytes of answers that are being received from targets, or wait to be written to callers.
///
/// Past the limit, the peer that holds most (a target with the answers that it sends, or a caller's connection with the
/// answers that it has not taken) loses its longest answer, so that one faulty peer does not cost others theirs.
///
/// \code
/// auto share = memory.hold("target i-7", [this] { closeConnection(); });
/// share.resize(body.capacity());
/// \endcode
class AnswerMemory {
    struct Holding {
        std::string peer;
        std::uint64_t bytes = 0;
        std::function<void()> release; ///< empty if the answer cannot be released
        bool isEnding = false; ///< given up; its memory is free once the operations that use it have ended
    };
    using Holdings = std::list<Holding>;

    struct Ledger {
        std::uint64_t limit = 0;
        std::uint64_t bytes = 0; ///< of all holdings
        std::uint64_t releasedAnswers = 0;
        Holdings holdings;

        void release(const Holdings::iterator& holding) noexcept;
        void releaseLongest();
    };

public:
    /// \brief The bytes of one answer. They are no longer counted once it is destroyed.
    class Share : public MemoryShare<Ledger, Holdings::iterator> {
    public:
        using MemoryShare::MemoryShare;

        /// \brief Sets the number of bytes allocated for the answer. If that exceeds the limit of all answers, an
        /// answer is released before the call returns, possibly this one.
        void resize(std::uint64_t bytes);

        /// \brief Passes the answer on to another peer. \param release frees the answer; empty if it cannot be freed
        void assign(std::string peer, std::function<void()> release);

        /// \brief Says that the answer was given up. It is counted until the share is destroyed with its memory.
        void markEnding();
    };

    /// \param limit bytes of all answers together
    explicit AnswerMemory(std::uint64_t limit)
        : m_ledger(std::make_shared<Ledger>(Ledger { .limit = limit }))
    {
    }

    /// \brief Begins to count an answer, with no bytes at first.
    /// \param release frees the answer and ends its transfer
    [[nodiscard]] Share hold(std::string peer, std::function<void()> release);

    /// \brief Bytes of all answers.
    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_ledger->bytes; }

    /// \brief Number of answers that were released because of the limit.
    [[nodiscard]] std::uint64_t releasedAnswers() const noexcept { return m_ledger->releasedAnswers; }

private:
    std::shared_ptr<Ledger> m_ledger;
};

} // namespace arbutuscrank::node
