#pragma once

#include "node/feed_cache.hpp"
#include "node/http_channel.hpp"
#include "node/http_get_server.hpp"

#include <functional>
#include <map>
#include <memory>

/// \file
/// \brief Shares reads of the store: a few VMs, usually the coordinators, read the store, and the others read a feed of
/// one of them.

namespace arbutuscrank::node {

/// \brief Reads from another VM's feed if a source is set, else from the platform's store. Writes always go to the
/// platform's store.
///
/// Reads from the platform's store are cached and served to other VMs as a feed, together with the time as of which the
/// store has confirmed the policy. Readers of the feed therefore know the age of their policy, but not that of other
/// collections. A VM that reads another VM's feed serves no feed itself.
class SharedStore : public ObjectStore {
public:
    SharedStore(asio::io_context& context, std::shared_ptr<ObjectStore> platformStore);

    /// \brief Reads from another VM's feed from now on, or from the platform's store if the address is empty.
    void setSource(const std::string& address);
    [[nodiscard]] const std::string& source() const noexcept { return m_source; }

    /// \brief Serves the feed on an address.
    [[nodiscard]] Result<void> open(const std::string& address) { return m_server.open(address); }
    void close() { m_server.close(); }
    /// \copydoc HttpGetServer::setUnreadableHandler
    void setUnreadableHandler(std::function<void(const std::string& detail)> handler)
    {
        m_server.setUnreadableHandler(std::move(handler));
    }

    /// \brief Reports that a read of the platform's store failed. The feed refuses reads until the store confirms the
    /// policy again, and waiting watches fail at once, so that readers of the feed look for another source. The feed
    /// serves the collection only after it has been read again; after a failed read of the policy, which is read most
    /// often, that holds for every collection.
    void invalidateFeed(Collection failed);

    /// \brief Sets whether reads of the policy confirm it. They do not while the newest list was incomplete and lacked
    /// the policy, because a change of it may be hidden. The feed is not served then.
    void setPolicyHidden(bool isHidden);
    [[nodiscard]] bool isPolicyHidden() const noexcept { return m_isPolicyHidden; }

    /// \brief Greatest era of the store that is known; 0 if none is.
    [[nodiscard]] StoreEra era() const noexcept { return m_era; }
    /// \brief Records an era of the store. If it is a rise, the feed refuses reads until the collections are read
    /// again, writes of the earlier era are abandoned, and answers to calls of the earlier era fail.
    void noteEra(StoreEra era);

    /// \brief Number of calls sent to the platform's store.
    [[nodiscard]] std::uint64_t platformCalls() const noexcept { return m_platformCalls; }

    /// \brief Reads the whole collection as one page.
    void list(Collection collection, const std::string& after, Handler<StoreListing> done) override;
    void watch(Collection collection, std::uint64_t revision, Duration wait, Handler<StoreChanges> done) override;
    void abandonReads(Collection collection) override;
    /// \copydoc ObjectStore::setEraHandler Here it gets only eras that are greater than any before, those from feeds
    /// included.
    void setEraHandler(EraHandler handler) override { m_eraHandler = std::move(handler); }
    void abandonWrites() override { m_platformStore->abandonWrites(); }
    void write(Collection collection, const StoreObject& object, Handler<ObjectVersion> done) override;
    void remove(
        Collection collection, const std::string& name, ObjectVersion revision, Handler<ObjectVersion> done) override;

private:
    /// A watch of the feed that has not been answered, or a list that waits for the first read of the collection.
    struct Waiter {
        Collection collection {};
        bool isList = false;
        std::uint64_t revision = 0;
        StoreEra era = 0; ///< of the revision; 0 if unknown
        TimePoint receivedAt {};
        HttpGetServer::Reply reply;
        asio::steady_timer timer;
    };
    using WaiterId = std::uint64_t;

    /// The newest answer of a collection without the confirmation, which differs between readers. A configuration of
    /// 1 MB is encoded once for all of them.
    struct EncodedAnswer {
        std::uint64_t revision = 0; ///< of the collection
        std::uint64_t since = 0; ///< revision after which the answer contains the changes; 0 for a list
        std::string text;
    };

    /// Passes an answer on, unless the era has changed since its call was sent or the answer is of an earlier one.
    template <typename T> void deliver(Result<T> answer, StoreEra sentInEra, const Handler<T>& done);
    /// Whether an answer of an era, or of an unknown one, to a call that was sent in another is of the newest era.
    [[nodiscard]] bool isCurrent(StoreEra era, StoreEra sentInEra) const noexcept
    {
        return (era == 0 || era == m_era) && (sentInEra == 0 || sentInEra == m_era);
    }
    /// Whether a reader's revision is of another era than this feed, as far as both are known.
    [[nodiscard]] bool hasOtherEra(StoreEra readerEra) const noexcept
    {
        return readerEra != 0 && m_era != 0 && readerEra != m_era;
    }
    [[nodiscard]] Handler<ObjectVersion> makeWriteHandler(Handler<ObjectVersion> done) const;
    template <typename T, typename Decode> HttpChannel::Handler makeFeedHandler(Handler<T> done, Decode decode);
    [[nodiscard]] HttpGetServer::Answer makeRefusal(http::status status) const;
    [[nodiscard]] HttpChannel& feedChannel(Collection collection);
    void recordConfirmation(Collection collection, TimePoint sentAt);
    [[nodiscard]] bool canServe(Collection collection) const;
    /// Whether this VM has started and reads a collection for the first time, as far as known without a failure.
    [[nodiscard]] bool isFirstRead(Collection collection) const;
    /// Fails all waiting watches and refuses reads until the store confirms the policy again.
    void refuseFeedReads();

    // Serves the feed.
    void serve(std::string_view target, HttpGetServer::Reply reply);
    void wait(Waiter waiter, Duration duration);
    void replyListing(Collection collection, TimePoint receivedAt, const HttpGetServer::Reply& reply);
    void answer(WaiterId id);
    void answerWaiters(Collection collection);
    static const std::string& encodeOnce(EncodedAnswer& last, std::uint64_t revision, std::uint64_t since,
        const std::function<std::string()>& encodeAnswer);
    [[nodiscard]] bool hasChanges(const Waiter& waiter) const;

    asio::io_context& m_context;
    std::shared_ptr<ObjectStore> m_platformStore;
    HttpGetServer m_server;
    std::string m_source; ///< "ip:port" of the feed; empty: the platform's store
    std::map<Collection, std::shared_ptr<HttpChannel>> m_feedChannels; ///< connections to the source
    std::map<Collection, FeedCache> m_caches;
    std::map<Collection, EncodedAnswer> m_encodedListings;
    std::map<Collection, EncodedAnswer> m_encodedChanges;
    StoreEra m_era = 0;
    EraHandler m_eraHandler;
    std::optional<TimePoint> m_confirmedAt; ///< send time of the last answered read of the policy
    std::map<WaiterId, Waiter> m_waiters;
    bool m_isPolicyHidden = false;
    bool m_hasRefusedReads = false; ///< a failure or another source has ended the first reads
    WaiterId m_lastWaiterId = 0;
    std::uint64_t m_platformCalls = 0;
};

} // namespace arbutuscrank::node
