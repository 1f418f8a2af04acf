#pragma once

#include "node/answer_memory.hpp"
#include "node/caller_session.hpp"
#include "node/collection_reader.hpp"
#include "node/http_get_server.hpp"
#include "node/message_socket.hpp"
#include "node/shared_store.hpp"
#include "node/target_connections.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/non_blocking_log.hpp"

#include <arbutuscrank/entry.hpp>

#include <deque>
#include <map>
#include <set>

/// \file
/// \brief Process around the entry's reducer: turns input into events and performs the effects that they cause.

namespace arbutuscrank::node {

/// \brief Entry process of one VM. All members run on one event loop.
class EntryNode {
public:
    EntryNode(asio::io_context& context, const entry::EntrySettings& settings, PlatformBinding platform);

    /// \brief Listens on all addresses and starts to read the store.
    /// \returns InvalidArgument or Unavailable with the first address that could not be opened
    [[nodiscard]] Result<void> start();

    /// \brief Starts a graceful shutdown: look-ups send callers to other VMs, connections are accepted for another few
    /// seconds, and requests in flight are finished. The event loop ends when no connections are accepted and every
    /// answer is written, at the latest shortly before the grace period is over.
    void requestStop();

    /// \brief Applies the bounds and the failure domains of changed settings. Other settings, such as addresses, and
    /// the timing of the store's watches, which is computed from the bounds, stay as they were at the start.
    void applySettings(const entry::EntrySettings& settings);

    /// \brief Logs that changed settings were rejected. The settings in force stay.
    void logRejectedSettings(const Error& error);

private:
    struct HeldAnswer {
        CallerAnswer answer;
        AnswerMemory::Share memory;
    };

    struct PendingRequest {
        std::weak_ptr<CallerSession> session;
        std::shared_ptr<const CallerRequest> request;
        TimePoint arrivedAt {};
        asio::steady_timer expiryTimer;
        /// Before admission, the timeout of the coordinator's decision; after it, the time of the next hedge.
        asio::steady_timer hedgeOrAdmissionTimer;
        std::map<entry::AttemptId, HeldAnswer> answers; ///< answers of attempts, not delivered yet
    };

    // Handlers of input from callers, targets, other VMs and the store.
    void acceptCallers();
    void startSession(Tcp::socket socket);
    /// Sockets of callers and targets.
    [[nodiscard]] std::size_t usedSockets() const;
    [[nodiscard]] bool hasSocketBelow(std::size_t limit) const;
    /// Closes connections, those first whose loss costs least, until a new one fits. \returns false if none can close
    bool makeRoomForSocket();
    [[nodiscard]] std::uint64_t callerMemoryLimit() const;
    [[nodiscard]] bool needsBody(const CallerRequest& request) const;
    /// Accepts the connections that wait in the listen queue and then no others.
    void stopListening();
    void handleRequest(RequestId id, const std::shared_ptr<const CallerRequest>& request,
        const std::shared_ptr<CallerSession>& session);
    void handleAttemptResult(RequestId request, entry::AttemptId attempt, AttemptResult result);
    void handleMessage(std::string_view bytes);
    void createReaders();
    void updateStoreSource();
    CollectionReader::Handlers readerHandlers(Collection collection);
    void applyListing(Collection collection, const StoreListing& listing);
    void applyChange(Collection collection, const StoreChange& change);
    [[nodiscard]] bool isKnownFailureDomain(const std::string& name) const;
    void addEvacuation(const std::string& failureDomain);
    void dispatchEvacuations();
    void applyEvacuationRecordChange(const std::string& failureDomain, const StoreChange& change);
    /// Removes an object of the collection of members from the store, if it is known.
    void removeMemberObject(const std::string& name);
    /// \returns whether the object holds a policy that can be read
    bool applyPolicyObject(const StoreObject& object);
    [[nodiscard]] std::vector<entry::TargetRecord> decodeTargets(const std::vector<StoreObject>& objects);
    void handleReadFailure(Collection collection, const Error& error);
    void handleFeedFailure(Collection collection, const Error& error);
    /// Lists all collections other than the policy again.
    void listAfterFailure();
    /// Sends watches again that have waited long although the store has changed: their connection may be silent.
    void replaceSilentWatches();
    /// Writes this VM's registration unless \p registered, the one in the store (null if there is none), equals it.
    void registerSelf(const StoreObject* registered);
    void tick();
    void recordLoopDelay();
    void continueStop();
    void recordConnectionCut(const ConnectionCut& cut);

    // Queues events for the reducer and performs its effects.
    void dispatch(const entry::EntryEvent& event);
    void perform(const entry::SendAttempt& effect);
    void perform(const entry::CancelAttempt& effect);
    void perform(const entry::DeliverAnswer& effect);
    void perform(const entry::SendLocalAnswer& effect);
    void perform(const entry::SetExpiryTimer& effect);
    void perform(const entry::SetHedgeTimer& effect);
    void perform(const entry::CloseIdleConnections& effect);
    void perform(const entry::SetAdmissionTimer& effect);
    void perform(const entry::SendMessage& effect);
    void perform(const entry::RemoveRegistration& effect);
    void perform(const entry::RepeatPolicyRead& effect);
    void perform(const entry::RestartStoreCalls& effect);
    void perform(const entry::RecordEvacuation& effect);
    void perform(const entry::RemoveEvacuationRecord& effect);
    void perform(const entry::WriteLog& effect);
    void answerCaller(RequestId request, CallerAnswer answer, AnswerMemory::Share memory = {});

    // Answers that are made from the state in memory.
    [[nodiscard]] HttpGetServer::Answer serveReadiness(std::string_view target) const;
    [[nodiscard]] HttpGetServer::Answer serveLookup(std::string_view target);
    [[nodiscard]] HttpGetServer::Answer serveInspection(std::string_view target) const;
    [[nodiscard]] std::string metricsText() const;

    void log(LogEvent event, std::string_view detail);

    asio::io_context& m_context;
    PlatformBinding m_platform;
    NonBlockingLog m_log;
    Metrics m_metrics;
    entry::EntryState m_state;
    AnswerMemory m_answerMemory;
    CallerMemory m_callerMemory;
    std::size_t m_maxSockets; ///< for callers and targets
    TargetConnections m_targetConnections;
    MessageSocket m_messageSocket;
    CallerHandlers m_callerHandlers;
    std::optional<Tcp::acceptor> m_acceptor;
    HttpGetServer m_readinessServer;
    HttpGetServer m_lookupServer;
    HttpGetServer m_inspectionServer;
    asio::steady_timer m_tickTimer;
    std::map<RequestId, PendingRequest> m_pendingRequests;
    std::vector<std::weak_ptr<CallerSession>> m_sessions;
    std::shared_ptr<SharedStore> m_store;
    std::map<Collection, std::shared_ptr<CollectionReader>> m_readers;
    TimePoint m_startedAt {};
    bool m_hasStartedReaders = false; ///< whether all readers run; at first, only the reader of members does
    std::map<std::string, ObjectVersion> m_memberRevisions; ///< of registrations and of evacuation records
    std::set<std::string> m_evacuationRecords; ///< failure domains with a record in the store
    std::set<std::string> m_evacuations; ///< names of all entries, also those that name no failure domain
    std::set<std::string> m_undecodableTargets; ///< targets in the store that could not be decoded, logged once each
    std::deque<entry::EntryEvent> m_events; ///< queue of events that have not been reduced
    bool m_isDispatching = false;
    bool m_isRegistering = false;
    bool m_hasStoppedListening = false;
    bool m_mustListAfterFailure = false; ///< a read of the policy has failed since the collections were last listed
    RequestId m_lastRequestId = 0;
    std::uint64_t m_failedStoreCalls = 0;
    std::uint64_t m_crowdedConnections = 0; ///< callers' connections closed for another socket
    std::uint64_t m_unreadableRequests = 0; ///< of callers
    std::uint64_t m_unreadableGetRequests = 0; ///< for readiness, look-ups, metrics and the feed
    std::uint64_t m_crowdedRequests = 0; ///< requests refused because no socket was left for them
    std::map<CloseCause, std::uint64_t> m_connectionCuts; ///< connections closed with data outstanding, by cause
    std::map<Collection, std::size_t> m_listGaps; ///< number of gaps of the newest list
    std::map<Collection, TimePoint> m_readConfirmedAt; ///< time as of which the newest read is confirmed
};

} // namespace arbutuscrank::node
