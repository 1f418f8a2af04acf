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

    /// Time between checks of PINGs, time-outs and reconnections.
    constexpr auto tickInterval = std::chrono::milliseconds(50);
    /// Time that an accepted connection has to tell its name.
    constexpr auto identifyTimeout = std::chrono::seconds(3);

    class NghttpTransport final : public PeerTransport, public SessionOwner {
    public:
        NghttpTransport(PeerTransportSettings settings, PeerTransportHandler& handler)
            : m_settings(std::move(settings))
            , m_handler(handler)
            , m_connector(m_loop, *this)
        {
            m_connector.onSession = [this](const auto& it) { m_sessions.insert(it); };
            m_connector.isReachable = [this](const VmId& vm) { return m_senders.contains(vm); };
            m_connector.onDialFailed = [this](const VmId& vm, const Error& error) {
                if (!m_stopping)
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
            m_listener.watch(*m_loop, [this](int fd, std::string name) { accept(fd, std::move(name)); });
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
            const std::lock_guard lock(m_queueMutex);
            const auto it = m_queues.find(to);
            if (it == m_queues.end() || bytes.size() > m_settings.maxMessageBytes
                || it->second.bytes + bytes.size() > m_settings.maxSendQueueBytes) {
                ++m_dropped;
                return;
            }
            it->second.bytes += bytes.size();
            it->second.messages.push_back(std::move(bytes));
            if (!std::exchange(it->second.wakePosted, true))
                m_loop->post([this, to] { flushQueue(to); });
        }

        std::shared_ptr<ForwardStream> forward(
            const PeerEndpoint& owner, ForwardHead head, std::string body, ForwardCallbacks callbacks) override
        {
            auto stream
                = std::make_shared<ClientForward>(m_loop, std::move(head), std::move(body), std::move(callbacks));
            if (!m_loop->post([this, owner, stream] { m_connector.forward(owner, stream); }))
                stream->endNotRun("the transport was stopped");
            return stream;
        }

        std::pair<std::uint64_t, std::uint64_t> controlBytes() const override
        {
            return { static_cast<std::uint64_t>(m_sent.load()), static_cast<std::uint64_t>(m_received.load()) };
        }

        std::string boundAddress() const override { return m_listener.boundAddress(); }

        std::uint64_t droppedMessages() const override { return m_dropped.load(); }

        bool isConnected(const VmId& vm) const override
        {
            const std::lock_guard lock(m_queueMutex);
            return m_queues.contains(vm);
        }

    private:
        struct Queue {
            std::deque<std::vector<std::uint8_t>> messages;
            std::size_t bytes = 0;
            bool wakePosted = false;
        };

        // --- SessionOwner: loop's thread ---

        const PeerTransportSettings& settings() const override { return m_settings; }

        void onIdentified(Session& session) override
        {
            const auto peer = *session.peer();
            if (session.isClient())
                m_connector.onIdentified(session);
            closeEarlierIncarnations(peer);
            if (!m_senders.contains(peer.vm))
                useForSending(session.shared_from_this());
        }

        void onMessageBytes(Session& session, std::span<const std::uint8_t> bytes) override
        {
            const auto& from = *session.peer();
            if (session.superseded)
                return;
            auto& source = m_sources[{ from.vm, from.incarnation }];
            if (const auto before = source.lock(); before.get() != &session) {
                // The peer moves to another session only after it gave up the one before, so what is still on the way
                // there is older than this message.
                if (before)
                    before->superseded = true;
                source = session.weak_from_this();
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
            const auto it = m_sources.find({ peer.vm, peer.incarnation });
            if (it != m_sources.end() && it->second.lock() == self)
                m_sources.erase(it);
            const auto sender = m_senders.find(peer.vm);
            if (sender == m_senders.end() || sender->second != self)
                return;
            m_senders.erase(sender);
            chooseSender(peer.vm);
            if (!m_stopping && m_connector.isPeer(peer.vm))
                m_handler.onPeerLost(peer.vm, error);
        }

        bool takeMessage(Session& session, std::vector<std::uint8_t>& message) override
        {
            const auto sender = m_senders.find(session.peer()->vm);
            if (sender == m_senders.end() || sender->second.get() != &session)
                return false;
            const std::lock_guard lock(m_queueMutex);
            const auto it = m_queues.find(session.peer()->vm);
            if (it == m_queues.end() || it->second.messages.empty())
                return false;
            message = std::move(it->second.messages.front());
            it->second.messages.pop_front();
            it->second.bytes -= message.size();
            return true;
        }

        bool reserveMemory(std::size_t bytes) override
        {
            if (m_incomplete + bytes > m_settings.maxIncompleteBytes)
                return false;
            m_incomplete += bytes;
            return true;
        }

        void releaseMemory(std::size_t bytes) override { m_incomplete -= bytes; }

        void countBytes(std::int64_t sent, std::int64_t received) override
        {
            m_sent += sent;
            m_received += received;
        }

        // --- Loop's thread ---

        void accept(int fd, std::string name)
        {
            if (m_sessions.size() >= m_settings.maxSessions) {
                ::close(fd);
                return;
            }
            const auto session = std::make_shared<Session>(m_loop, *this, fd, false, std::move(name));
            m_sessions.insert(session);
            session->start();
        }

        void flushQueue(const VmId& vm)
        {
            {
                const std::lock_guard lock(m_queueMutex);
                if (const auto it = m_queues.find(vm); it != m_queues.end())
                    it->second.wakePosted = false;
            }
            if (const auto it = m_senders.find(vm); it != m_senders.end()) {
                const auto session = it->second; // flush may break it
                session->flush();
            }
        }

        void useForSending(const std::shared_ptr<Session>& session)
        {
            const auto& vm = session->peer()->vm;
            m_senders[vm] = session;
            const std::lock_guard lock(m_queueMutex);
            m_queues[vm];
        }

        /// Goes on with another session to the VM, or drops what is queued for it.
        void chooseSender(const VmId& vm)
        {
            for (const auto& it : m_sessions) {
                if (it->isOpen() && it->peer() && it->peer()->vm == vm) {
                    useForSending(it);
                    return flushLater(vm);
                }
            }
            const std::lock_guard lock(m_queueMutex);
            const auto it = m_queues.find(vm);
            m_dropped += it->second.messages.size();
            m_queues.erase(it);
        }

        void flushLater(const VmId& vm)
        {
            m_loop->post([this, vm] { flushQueue(vm); });
        }

        /// A later incarnation of a VM was heard, so the earlier one no longer runs.
        void closeEarlierIncarnations(const ProcessId& peer)
        {
            for (const auto& it : m_sessions) {
                if (it->peer() && it->peer()->vm == peer.vm && it->peer()->incarnation < peer.incarnation) {
                    m_loop->post([it] {
                        it->close({ ErrorCode::Unavailable, "peer.session", it->peerName(), "the peer restarted" });
                    });
                }
            }
        }

        void onTick()
        {
            const auto now = Session::Clock::now();
            const auto sessions = m_sessions; // sessions may end during the loop
            for (const auto& it : sessions) {
                if (!it->isClient() && !it->peer() && now - it->startedAt() > identifyTimeout)
                    it->close({ ErrorCode::Timeout, "peer.accept", it->peerName(), "the peer did not tell its name" });
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
                m_stopping = true;
                m_listener.close(*m_loop);
                m_connector.stop();
                const auto sessions = m_sessions;
                for (const auto& it : sessions)
                    it->shutDown({ ErrorCode::Unavailable, "peer.session", it->peerName(), "the transport stops" });
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
        std::atomic<std::int64_t> m_sent = 0;
        std::atomic<std::int64_t> m_received = 0;
        std::atomic<std::uint64_t> m_dropped = 0;

        mutable std::mutex m_queueMutex;
        std::map<VmId, Queue> m_queues; ///< of VMs that have a session for sending

        // Loop's thread only.
        bool m_stopping = false;
        std::size_t m_incomplete = 0;
        std::set<std::shared_ptr<Session>> m_sessions;
        std::map<VmId, std::shared_ptr<Session>> m_senders; ///< session that messages to a VM use
        std::map<std::pair<VmId, Incarnation>, std::weak_ptr<Session>>
            m_sources; ///< session that messages of a process come on
    };

} // namespace

std::unique_ptr<PeerTransport> makePeerTransport(PeerTransportSettings settings, PeerTransportHandler& handler)
{
    return std::make_unique<NghttpTransport>(std::move(settings), handler);
}

} // namespace arbutuscrank
