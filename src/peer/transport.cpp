#include <arbutuscrank/peer/codec.hpp>
#include <arbutuscrank/peer/transport.hpp>

#include "peer/connector.hpp"
#include "peer/forward_streams.hpp"
#include "peer/listener.hpp"
#include "peer/session.hpp"

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include <unistd.h>

namespace arbutuscrank {

namespace {

    using namespace peer;

    /// Interval at which PINGs, timeouts and reconnects are checked.
    constexpr auto tickInterval = std::chrono::milliseconds(50);
    /// An accepted connection is closed if the peer does not identify itself within this time.
    constexpr auto identifyTimeout = std::chrono::seconds(3);

    class NghttpTransport final : public PeerTransport, public SessionOwner {
    public:
        NghttpTransport(PeerTransportSettings settings, PeerTransportHandler& handler)
            : m_settings(std::move(settings))
            , m_handler(handler)
            , m_connector(m_loop, *this)
        {
            m_connector.onSessionCreated = [this](const auto& it) { m_sessions.insert(it); };
            m_connector.isReachable = [this](const VmId& vm) { return m_sendSessions.contains(vm); };
            m_connector.onConnectFailed = [this](const VmId& vm, const Error& error) {
                if (!m_isStopping)
                    m_handler.onPeerLost(vm, error);
            };
        }
        NghttpTransport(const NghttpTransport&) = delete;
        NghttpTransport& operator=(const NghttpTransport&) = delete;
        ~NghttpTransport() override { stopThread(); }

        // --- PeerTransport: any thread ---

        Result<void> start() override
        {
            if (auto opened = m_listener.open(m_settings.listenAddress); !opened)
                return opened;
            if (auto opened = m_loop->open(); !opened)
                return opened;
            m_listener.startAccepting(
                *m_loop, [this](int fd, std::string peerAddress) { accept(fd, std::move(peerAddress)); });
            m_thread = std::thread([this] {
                m_loop->run(tickInterval, [this] { onTick(); });
                m_loop->close();
            });
            return outcome::success();
        }

        void stop() override { stopThread(); }

        void setPeers(std::vector<PeerEndpoint> peers) override
        {
            m_loop->post([this, peers = std::move(peers)] { m_connector.setPeers(peers); });
        }

        void send(const VmId& to, const PeerMessage& message) override
        {
            auto bytes = encodeMessage(message);
            const std::lock_guard lock(m_sendQueueMutex);
            const auto it = m_sendQueues.find(to);
            if (it == m_sendQueues.end() || bytes.size() > m_settings.maxMessageBytes
                || it->second.bytes + bytes.size() > m_settings.maxSendQueueBytes) {
                ++m_droppedMessages;
                return;
            }
            it->second.bytes += bytes.size();
            it->second.messages.push_back(std::move(bytes));
            if (!std::exchange(it->second.isFlushPosted, true))
                m_loop->post([this, to] { flushQueue(to); });
        }

        std::shared_ptr<ForwardStream> forward(
            const PeerEndpoint& owner, ForwardHead head, std::string body, ForwardCallbacks callbacks) override
        {
            auto stream
                = std::make_shared<ClientForward>(m_loop, std::move(head), std::move(body), std::move(callbacks));
            if (!m_loop->post([this, owner, stream] { m_connector.forward(owner, stream); }))
                stream->endNotRun("the peer transport is stopped");
            return stream;
        }

        std::pair<std::uint64_t, std::uint64_t> controlBytes() const override
        {
            return { static_cast<std::uint64_t>(m_sentBytes.load()),
                static_cast<std::uint64_t>(m_receivedBytes.load()) };
        }

        std::string boundAddress() const override { return m_listener.boundAddress(); }

        std::uint64_t droppedMessages() const override { return m_droppedMessages.load(); }

        bool isConnected(const VmId& vm) const override
        {
            const std::lock_guard lock(m_sendQueueMutex);
            return m_sendQueues.contains(vm);
        }

    private:
        struct SendQueue {
            std::deque<std::vector<std::uint8_t>> messages;
            std::size_t bytes = 0;
            bool isFlushPosted = false;
        };

        // --- SessionOwner: loop's thread ---

        const PeerTransportSettings& settings() const override { return m_settings; }

        void onIdentified(Session& session) override
        {
            const auto peer = *session.peer();
            if (session.isClient())
                m_connector.onIdentified(session);
            closeEarlierIncarnations(peer);
            if (!m_sendSessions.contains(peer.vm))
                setSendSession(session.shared_from_this());
        }

        void onMessageBytes(Session& session, std::span<const std::uint8_t> bytes) override
        {
            const auto& from = *session.peer();
            if (session.isSuperseded)
                return;
            auto& receiveSession = m_receiveSessions[{ from.vm, from.incarnation }];
            if (const auto previousSession = receiveSession.lock(); previousSession.get() != &session) {
                // The peer starts to send on another session only after it has abandoned the previous one. Messages
                // still in flight there are older than this one and are ignored to preserve the order.
                if (previousSession)
                    previousSession->isSuperseded = true;
                receiveSession = session.weak_from_this();
            }
            auto message = decodeMessage(bytes);
            if (!message)
                return session.fail(describe(message.error()));
            m_handler.onMessage(from, std::move(message.value()));
        }

        void onForward(const ProcessId& from, ForwardHead head, std::string body,
            std::shared_ptr<ForwardResponder> responder) override
        {
            m_handler.onForward(from, std::move(head), std::move(body), std::move(responder));
        }

        void onClosed(Session& session, const Error& error) override
        {
            const auto self = session.shared_from_this();
            m_sessions.erase(self);
            m_connector.onClosed(session, error);
            if (!session.peer())
                return;
            const auto peer = *session.peer();
            const auto it = m_receiveSessions.find({ peer.vm, peer.incarnation });
            if (it != m_receiveSessions.end() && it->second.lock() == self)
                m_receiveSessions.erase(it);
            const auto sendSession = m_sendSessions.find(peer.vm);
            if (sendSession == m_sendSessions.end() || sendSession->second != self)
                return;
            m_sendSessions.erase(sendSession);
            selectSendSession(peer.vm);
            if (!m_isStopping && m_connector.isPeer(peer.vm))
                m_handler.onPeerLost(peer.vm, error);
        }

        bool takeMessage(Session& session, std::vector<std::uint8_t>& message) override
        {
            const auto sendSession = m_sendSessions.find(session.peer()->vm);
            if (sendSession == m_sendSessions.end() || sendSession->second.get() != &session)
                return false;
            const std::lock_guard lock(m_sendQueueMutex);
            const auto it = m_sendQueues.find(session.peer()->vm);
            if (it == m_sendQueues.end() || it->second.messages.empty())
                return false;
            message = std::move(it->second.messages.front());
            it->second.messages.pop_front();
            it->second.bytes -= message.size();
            return true;
        }

        bool reserveMemory(std::size_t bytes) override
        {
            if (m_incompleteBytes + bytes > m_settings.maxIncompleteBytes)
                return false;
            m_incompleteBytes += bytes;
            return true;
        }

        void releaseMemory(std::size_t bytes) override { m_incompleteBytes -= bytes; }

        void countBytes(std::int64_t sent, std::int64_t received) override
        {
            m_sentBytes += sent;
            m_receivedBytes += received;
        }

        // --- Loop's thread ---

        void accept(int fd, std::string peerAddress)
        {
            if (m_sessions.size() >= m_settings.maxSessions) {
                ::close(fd);
                return;
            }
            const auto session = std::make_shared<Session>(m_loop, *this, fd, false, std::move(peerAddress));
            m_sessions.insert(session);
            session->start();
        }

        void flushQueue(const VmId& vm)
        {
            {
                const std::lock_guard lock(m_sendQueueMutex);
                if (const auto it = m_sendQueues.find(vm); it != m_sendQueues.end())
                    it->second.isFlushPosted = false;
            }
            if (const auto it = m_sendSessions.find(vm); it != m_sendSessions.end()) {
                const auto session = it->second; // keeps the session alive: flush may close it
                session->flush();
            }
        }

        void setSendSession(const std::shared_ptr<Session>& session)
        {
            const auto& vm = session->peer()->vm;
            m_sendSessions[vm] = session;
            const std::lock_guard lock(m_sendQueueMutex);
            m_sendQueues[vm];
        }

        /// Selects another open session with the VM, or drops the messages queued for it.
        void selectSendSession(const VmId& vm)
        {
            for (const auto& it : m_sessions) {
                if (it->isOpen() && it->peer() && it->peer()->vm == vm) {
                    setSendSession(it);
                    return postFlush(vm);
                }
            }
            const std::lock_guard lock(m_sendQueueMutex);
            const auto it = m_sendQueues.find(vm);
            m_droppedMessages += it->second.messages.size();
            m_sendQueues.erase(it);
        }

        void postFlush(const VmId& vm)
        {
            m_loop->post([this, vm] { flushQueue(vm); });
        }

        /// Closes the sessions of earlier incarnations of the VM. A process that identifies itself with a later
        /// incarnation proves that they no longer run.
        void closeEarlierIncarnations(const ProcessId& peer)
        {
            for (const auto& it : m_sessions) {
                if (it->peer() && it->peer()->vm == peer.vm && it->peer()->incarnation < peer.incarnation) {
                    m_loop->post([it] {
                        it->close({ ErrorCode::Unavailable, "peer.session", it->peerAddress(),
                            "a later incarnation of the peer has connected" });
                    });
                }
            }
        }

        void onTick()
        {
            const auto now = Session::Clock::now();
            const auto sessions = m_sessions; // a copy, because sessions may be removed during the loop
            for (const auto& it : sessions) {
                if (!it->isClient() && !it->peer() && now - it->startedAt() > identifyTimeout)
                    it->close({ ErrorCode::Timeout, "peer.accept", it->peerAddress(),
                        "the peer did not identify itself within 3 s" });
                else
                    it->onTick(now);
            }
            m_connector.onTick(now);
        }

        void stopThread()
        {
            if (!m_thread.joinable()) {
                m_connector.stop();
                m_loop->close();
                return;
            }
            m_loop->post([this] {
                m_isStopping = true;
                m_listener.close(*m_loop);
                m_connector.stop();
                const auto sessions = m_sessions;
                for (const auto& it : sessions)
                    it->shutDown({ ErrorCode::Unavailable, "peer.session", it->peerAddress(),
                        "the peer transport is stopping" });
                m_loop->quit();
            });
            m_thread.join();
        }

        PeerTransportSettings m_settings;
        PeerTransportHandler& m_handler;
        std::shared_ptr<EventLoop> m_loop = std::make_shared<EventLoop>();
        Listener m_listener;
        Connector m_connector;
        std::thread m_thread;
        std::atomic<std::int64_t> m_sentBytes = 0;
        std::atomic<std::int64_t> m_receivedBytes = 0;
        std::atomic<std::uint64_t> m_droppedMessages = 0;

        mutable std::mutex m_sendQueueMutex;
        std::map<VmId, SendQueue> m_sendQueues; ///< one for each VM in m_sendSessions

        // The members below are used on the loop's thread only.
        bool m_isStopping = false;
        std::size_t m_incompleteBytes = 0;
        std::set<std::shared_ptr<Session>> m_sessions;
        std::map<VmId, std::shared_ptr<Session>> m_sendSessions; ///< session over which messages to the VM are sent
        std::map<std::pair<VmId, Incarnation>, std::weak_ptr<Session>>
            m_receiveSessions; ///< session over which the process sends its messages
    };

} // namespace

std::unique_ptr<PeerTransport> makePeerTransport(PeerTransportSettings settings, PeerTransportHandler& handler)
{
    return std::make_unique<NghttpTransport>(std::move(settings), handler);
}

} // namespace arbutuscrank
