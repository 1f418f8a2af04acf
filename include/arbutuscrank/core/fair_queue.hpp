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
/// \brief Bounded queue of requests that wait for a slot, fair between accounts.

namespace arbutuscrank {

/// \brief Deficit round robin over accounts with a quantum of one request: in each round every account with waiting
/// requests gets one turn, in the order in which the accounts became active.
class FairQueue {
public:
    /// \brief Maximum numbers of waiting requests.
    struct Limits {
        std::uint32_t perAccount = 1;
        std::uint32_t total = 1;
    };

    /// \brief Outcome of \ref push.
    struct PushResult {
        bool queued = false;
        std::optional<RequestId> displaced; ///< request that was removed to make room for the new one
    };

    /// \brief Adds a request at the end of its account's queue, unless that queue is full.
    ///
    /// When the total limit is reached, the newest request of the account with the longest queue is removed, provided
    /// that its queue then stays at least as long as the queue of \p account becomes. Otherwise the new request is not
    /// queued.
    /// \param expires time from which \ref takeExpired returns the request
    [[nodiscard]] PushResult push(std::string_view account, RequestId id, TimePoint expires, const Limits& limits);

    /// \brief Removes the oldest request of the account whose turn is next.
    /// \returns nullopt if the queue is empty
    [[nodiscard]] std::optional<RequestId> pop();

    /// \brief Removes a request.
    /// \returns false if it is not queued
    bool remove(RequestId id);

    /// \brief Removes all expired requests, oldest first within an account.
    [[nodiscard]] std::vector<RequestId> takeExpired(TimePoint now);

    /// \brief Removes all requests, in the order of \ref pop.
    [[nodiscard]] std::vector<RequestId> takeAll();

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    /// \brief Number of accounts with waiting requests.
    [[nodiscard]] std::size_t accounts() const noexcept { return m_queues.size(); }
    /// \brief Number of waiting requests of one account.
    [[nodiscard]] std::size_t lengthOf(std::string_view account) const;

private:
    struct WaitingRequest {
        RequestId id = 0;
        TimePoint expires;
    };
    using AccountQueue = std::deque<WaitingRequest>;
    using AccountQueues = std::map<std::string, AccountQueue, std::less<>>;

    void removeQueue(AccountQueues::iterator it);

    AccountQueues m_queues; ///< queue of each account with waiting requests
    std::deque<std::string> m_turnOrder; ///< each account with waiting requests once; the front has the next turn
    std::size_t m_size = 0;
    TimePoint m_earliestExpiry = TimePoint::max(); ///< no request expires before this
};

} // namespace arbutuscrank
