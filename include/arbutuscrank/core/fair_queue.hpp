#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Bounded queue of requests that wait for a slot, fair by account.

namespace arbutuscrank {

/// \brief Deficit round robin over accounts with a quantum of one request: each account with waiting requests gets one
/// turn per round, in the order in which the accounts became active.
class FairQueue {
public:
    struct Limits {
        std::uint32_t perAccount = 1;
        std::uint32_t total = 1;
    };

    struct PushResult {
        bool queued = false;
        std::optional<RequestId> displaced; ///< request that lost its place to the new one
    };

    /// \brief Adds a request at the end of its account's line.
    ///
    /// When the total bound is reached, the newest request of the account with the longest line gives way if that line
    /// stays at least as long as the line of \p account.
    /// \param expires time at which \ref takeExpired returns the request
    [[nodiscard]] PushResult push(std::string_view account, RequestId id, TimePoint expires, const Limits& limits);

    /// \brief Takes the next request in turn; nullopt if empty.
    [[nodiscard]] std::optional<RequestId> pop();

    /// \brief Removes a request. \returns false if it does not wait here
    bool remove(RequestId id);

    /// \brief Removes all requests whose time has come, oldest first within an account.
    [[nodiscard]] std::vector<RequestId> takeExpired(TimePoint now);

    /// \brief Removes all requests.
    [[nodiscard]] std::vector<RequestId> takeAll();

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    [[nodiscard]] std::size_t accounts() const noexcept { return m_lines.size(); }
    /// \brief Waiting requests of one account.
    [[nodiscard]] std::size_t lengthOf(std::string_view account) const;

private:
    struct Waiting {
        RequestId id = 0;
        TimePoint expires;
    };
    using Line = std::deque<Waiting>;
    using Lines = std::map<std::string, Line, std::less<>>;

    void dropLine(Lines::iterator it);

    Lines m_lines; ///< accounts with waiting requests only
    std::deque<std::string> m_turns; ///< each account of m_lines once; the front has the next turn
    std::size_t m_size = 0;
    TimePoint m_earliest = TimePoint::max(); ///< no request expires before this
};

} // namespace arbutuscrank
