#include "daemon/peer_service.hpp"

namespace arbutuscrank {

namespace {

    /// Forwarded requests that may wait for a thread. Further ones are refused as not run.
    constexpr std::size_t maxQueuedForwards = 512;

    /// Messages that may wait for the core. A longer queue means that the core does not keep up. Further messages are
    /// dropped, which the protocol tolerates because messages between entries may be lost at any time.
    constexpr std::size_t maxQueuedMessages = 100'000;

    /// Sends the answer to the entry that forwarded the request.
    class PeerSink final : public AnswerSink {
    public:
        explicit PeerSink(ForwardResponder& responder) noexcept
            : m_responder(responder)
        {
        }

        bool start(int status, const HeaderList& headers, std::optional<std::uint64_t> length) override
        {
            auto allHeaders = headers;
            if (length)
                allHeaders.emplace_back("content-length", std::to_string(*length));
            m_responder.start(status, std::move(allHeaders));
            return true;
        }

        bool write(std::span<const std::uint8_t> bytes) override { return m_responder.write(bytes); }

        void finish() override { finishOnce({ AttemptOutcome::Complete, false, {}, {} }); }

        void abort() override
        {
            finishOnce({ AttemptOutcome::Unknown, false, {}, "the answer of the target ended early at the owner" });
        }

        void refuse(const Refusal& refusal) override
        {
            const auto outcome = refusal.certainlyNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
            const bool isShed = refusal.reason == "overloaded";
            finishOnce({ outcome, isShed, refusal.retryAfter, refusal.reason + " " + refusal.detail });
        }

        /// Ends the stream if the request ended without an answer.
        void endIfOpen()
        {
            finishOnce({ AttemptOutcome::Unknown, false, {}, "the request ended at the owner without an answer" });
        }

    private:
        void finishOnce(ForwardResult result)
        {
            if (std::exchange(m_hasEnded, true))
                return;
            m_responder.finish(std::move(result));
        }

        ForwardResponder& m_responder;
        bool m_hasEnded = false;
    };

} // namespace

PeerService::PeerService(SessionServices services, SessionTable& sessions, const BlockingLog& log, std::size_t threads)
    : m_services(services)
    , m_sessions(sessions)
    , m_log(log)
    , m_messageQueue(1)
    , m_forwardQueue(threads)
{
}

void PeerService::onMessage(const ProcessId& from, PeerMessage message)
{
    m_messageQueue.post(
        [this, event = PeerMessageReceived { from, std::move(message) }] { m_services.core.submit(event); },
        maxQueuedMessages);
}

void PeerService::onPeerLost(const VmId& vm, const Error& error)
{
    m_log.write(LogEvent::PeerConnectionLost, "peer=" + vm + " error=\"" + describe(error) + "\"");
    m_messageQueue.post([this, vm] { m_services.core.submit(PeerConnectionLost { vm }); });
}

void PeerService::onForward(
    const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder)
{
    const bool isAccepted
        = m_forwardQueue.post([this, from, head = std::move(head), body = std::move(body),
                                  responder]() mutable { serveForward(from, head, std::move(body), *responder); },
            maxQueuedForwards);
    if (!isAccepted)
        responder->finish({ AttemptOutcome::NotRun, true, std::chrono::seconds(1),
            "the queue of forwarded requests is full, or the entry is stopping" });
}

void PeerService::serveForward(
    const ProcessId& from, const ForwardHead& head, std::string body, ForwardResponder& responder)
{
    const auto id = m_sessions.nextId();
    PeerSink sink(responder);
    IncomingRequest request { head.method, head.path, head.headers, std::move(body) };
    const auto session = std::make_shared<RequestSession>(m_services, id, std::move(request), sink);
    m_sessions.add(session);
    responder.onCancelled([weak = std::weak_ptr(session)] {
        if (const auto found = weak.lock())
            found->markCallerDisconnected();
    });
    session->serve(ForwardArrived {
        id, from, head.service, head.account, head.idempotent, std::chrono::duration_cast<Duration>(head.timeout) });
    m_sessions.remove(id);
    sink.endIfOpen();
}

void PeerService::stop()
{
    m_messageQueue.stop();
    m_forwardQueue.stop();
}

} // namespace arbutuscrank
