#pragma once

#include "node/caller_session.hpp"
#include "node/network.hpp"
#include "node/object_store.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Connections to targets, and the attempts that run on them.

namespace arbutuscrank::node {

/// \brief How an attempt ended.
struct AttemptResult {
    std::optional<entry::AttemptProgress> failure; ///< set if there is no usable answer
    std::string detail;
    CallerAnswer answer;
    bool notRun = false; ///< the target says that it did not run the request
    bool isSigned = false; ///< the answer carries the target's signature
    std::optional<entry::LoadReport> load;
};

class TargetAttempt;

/// \brief Kept connections to all targets.
class TargetConnections {
public:
    using Done = std::function<void(AttemptResult)>;

    TargetConnections(asio::io_context& context, HeaderNames names)
        : m_context(context)
        , m_names(std::move(names))
    {
    }

    /// \brief Runs a request on a target. \p done is called once, unless the attempt is cancelled.
    void send(const entry::SendAttempt& attempt, const CallerRequest& request, Done done);

    /// \brief Ends an attempt; its connection is closed.
    void cancel(entry::AttemptId attempt);

    /// \brief Closes connections to a target that no attempt uses.
    void closeIdle(const std::string& target);

    [[nodiscard]] std::uint64_t connectionsOpened() const noexcept { return m_opened; }

private:
    friend class TargetAttempt;

    struct Idle {
        std::shared_ptr<Tcp::socket> socket;
        TimePoint since {};
        Duration limit {}; ///< closed by the target after about this long
    };

    [[nodiscard]] std::shared_ptr<Tcp::socket> takeIdle(const std::string& target, Duration maxAge);
    void keep(const std::string& target, std::shared_ptr<Tcp::socket> socket, Duration limit);
    void dropIdle(const std::string& target, const Tcp::socket* socket);

    asio::io_context& m_context;
    HeaderNames m_names;
    std::map<entry::AttemptId, std::shared_ptr<TargetAttempt>> m_attempts;
    std::map<std::string, std::vector<Idle>> m_idle; ///< by target; the last one was used last
    std::uint64_t m_opened = 0;
};

} // namespace arbutuscrank::node
