#pragma once

#include "node/caller_session.hpp"
#include "node/collection_reader.hpp"
#include "node/message_socket.hpp"
#include "node/shared_store.hpp"
#include "node/simple_server.hpp"
#include "node/target_connections.hpp"
#include "telemetry/event_log.hpp"
#include "telemetry/metrics.hpp"

#include <arbutuscrank/entry.hpp>

#include <deque>
#include <map>
#include <set>

/// \file
/// \brief The process around the entry's reducer: turns input into events and performs effects.

namespace arbutuscrank::node {

/// \brief One entry VM on one event loop.
class EntryNode {
public:
    EntryNode(asio::io_context& context, const entry::EntrySettings& settings, PlatformBinding platform);

    /// \brief Opens all addresses and starts to read the store. \returns the first address that could not be opened
    [[nodiscard]] Result<void> start();

    /// \brief Stops without cutting a request: callers are sent elsewhere, then the event loop ends.
    void requestStop();

    /// \brief Takes over bounds and limits of changed settings. Addresses stay as they were at the start.
    void applySettings(const entry::EntrySettings& settings);

    /// \brief A signal or setting that could not be used; it is written to the log.
    void logRefusedSettings(const Error& error);

private:
    struct Caller {
        std::weak_ptr<CallerSession> session;
        std::shared_ptr<const CallerRequest> request;
        TimePoint arrivedAt {};
        asio::steady_timer expiry;
        asio::steady_timer hedge; ///< or the next question to the coordinator
        std::map<entry::AttemptId, CallerAnswer> answers; ///< not delivered yet
    };

    // Input
    void acceptCallers();
    void requestArrived(RequestId id, const std::shared_ptr<const CallerRequest>& request,
        const std::shared_ptr<CallerSession>& session);
    void attemptEnded(RequestId request, entry::AttemptId attempt, AttemptResult result);
    void messageReceived(std::string_view bytes);
    void makeReaders();
    void chooseStoreSource();
    CollectionReader::Handlers readerHandlers(Collection collection);
    void listed(Collection collection, const std::vector<StoreObject>& objects);
    void changed(Collection collection, const StoreChange& change);
    void readPolicy(const StoreObject& object);
    [[nodiscard]] std::vector<entry::TargetRecord> decodeTargets(const std::vector<StoreObject>& objects);
    void storeCallFailed(Collection collection, const Error& error);
    void feedFailed(Collection collection, const Error& error);
    void registerSelf(const StoreObject* found);
    void tick();
    void continueStop();

    // Effects
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
    void perform(const entry::WriteLog& effect);
    void answerCaller(RequestId request, CallerAnswer answer);

    // Served from memory
    [[nodiscard]] SimpleServer::Answer serveReadiness(std::string_view target) const;
    [[nodiscard]] SimpleServer::Answer serveLookup(std::string_view target);
    [[nodiscard]] SimpleServer::Answer serveInspection(std::string_view target) const;
    [[nodiscard]] std::string metricsText() const;

    void log(LogEvent event, std::string_view detail);

    asio::io_context& m_context;
    PlatformBinding m_platform;
    EventLog m_log;
    Metrics m_metrics;
    entry::EntryState m_state;
    TargetConnections m_targets;
    MessageSocket m_messages;
    CallerHandlers m_callerHandlers;
    std::optional<Tcp::acceptor> m_acceptor;
    SimpleServer m_readiness;
    SimpleServer m_lookups;
    SimpleServer m_inspection;
    asio::steady_timer m_tickTimer;
    std::map<RequestId, Caller> m_callers;
    std::vector<std::weak_ptr<CallerSession>> m_sessions;
    std::shared_ptr<SharedStore> m_store;
    std::map<Collection, std::shared_ptr<CollectionReader>> m_readers;
    TimePoint m_startedAt {};
    bool m_readersStarted = false; ///< all of them; the members' reader starts first
    std::optional<TimePoint> m_directUntil; ///< until when the feed is not used after it has failed
    std::map<std::string, ObjectVersion> m_memberRevisions;
    std::set<std::string> m_evacuations;
    std::set<std::string> m_refusedObjects; ///< entries of the store that could not be read, logged once
    std::deque<entry::EntryEvent> m_events; ///< not reduced yet
    bool m_dispatching = false;
    bool m_registering = false;
    bool m_stopListening = false;
    RequestId m_lastRequest = 0;
    std::uint64_t m_storeFailures = 0;
};

} // namespace arbutuscrank::node
