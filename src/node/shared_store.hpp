#pragma once

#include "node/feed_cache.hpp"
#include "node/http_channel.hpp"
#include "node/simple_server.hpp"

#include <map>
#include <memory>

/// \file
/// \brief The store as the VMs of a failure domain share it: the coordinator reads it, the others read from the
/// coordinator.

namespace arbutuscrank::node {

/// \brief Reads through the coordinator if there is one, else from the platform's store; writes to the platform's
/// store.
///
/// What is read from the platform's store is kept and served to other VMs, together with the time as of which the store
/// has confirmed the policy. Readers of the feed thus know the age of what they have, and nobody serves what it has
/// from another VM.
class SharedStore : public ObjectStore {
public:
    SharedStore(asio::io_context& context, std::shared_ptr<ObjectStore> platform);

    /// \brief Reads from another VM's feed from now on, or from the platform's store if the address is empty.
    void setSource(const std::string& address);
    [[nodiscard]] const std::string& source() const noexcept { return m_source; }

    /// \brief Serves the feed on an address.
    [[nodiscard]] Result<void> open(const std::string& address) { return m_server.open(address); }
    void close() { m_server.close(); }

    /// \brief The platform's store has failed to answer: readers of the feed are told to look for themselves.
    void storeFailed();

    /// \brief Calls that were sent to the platform's store.
    [[nodiscard]] std::uint64_t platformCalls() const noexcept { return m_platformCalls; }

    void list(Collection collection, const std::string& after, Handler<StoreListing> done) override;
    void watch(Collection collection, std::uint64_t revision, Duration wait, Handler<StoreChanges> done) override;
    void abandonReads(Collection collection) override;
    void write(Collection collection, const StoreObject& object, Handler<ObjectVersion> done) override;
    void remove(
        Collection collection, const std::string& name, ObjectVersion revision, Handler<ObjectVersion> done) override;

private:
    struct Waiter {
        Collection collection {};
        std::uint64_t revision = 0;
        TimePoint since {};
        SimpleServer::Reply reply;
        asio::steady_timer timer;
    };
    using WaiterId = std::uint64_t;

    [[nodiscard]] HttpChannel& channel(Collection collection);
    void confirm(Collection collection, TimePoint sentAt);
    [[nodiscard]] bool isServing(Collection collection) const;

    // Server
    void serve(std::string_view target, SimpleServer::Reply reply);
    void answer(WaiterId id);
    void wake(Collection collection);
    [[nodiscard]] bool hasNews(const Waiter& waiter) const;

    asio::io_context& m_context;
    std::shared_ptr<ObjectStore> m_platform;
    SimpleServer m_server;
    std::string m_source; ///< "ip:port" of the feed; empty: the platform's store
    std::map<Collection, std::shared_ptr<HttpChannel>> m_channels; ///< to the source
    std::map<Collection, FeedCache> m_caches;
    std::optional<TimePoint> m_confirmedAt; ///< send time of the last answered read of the policy
    std::map<WaiterId, Waiter> m_waiters;
    WaiterId m_lastWaiter = 0;
    std::uint64_t m_platformCalls = 0;
};

} // namespace arbutuscrank::node
