#include "daemon/peer_service.hpp"

namespace arbutuscrank {

namespace {

    /// Forwarded requests that wait for a thread; more are refused as not run.
    constexpr std::size_t maxWaitingForwards = 512;

    /// Messages that wait for the core. Above this the core cannot keep up, and messages may be lost anyway.
    constexpr std::size_t maxWaitingMessages = 100'000;

    /// Passes an answer on to the entry that forwarded the request.
    class PeerSink final : public AnswerSink {
    public:
        explicit PeerSink(ForwardResponder& responder) noexcept
            : m_responder(responder)
        {
        }

        bool start(int status, const HeaderList& headers, std::optional<std::uint64_t> length) override
        {
            auto all = headers;
            if (length)
                all.emplace_back("content-length", std::to_string(*length));
            m_responder.start(status, std::move(all));
            return true;
        }

        bool write(std::span<const std::uint8_t> bytes) override { return m_responder.write(bytes); }

        void finish() override { end({ AttemptOutcome::Complete, false, {}, {} }); }

        void abort() override { end({ AttemptOutcome::Unknown, false, {}, "answer cut short at the owner" }); }

        void refuse(const Refusal& refusal) override
        {
            const auto outcome = refusal.certainlyNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
            const bool shed = refusal.reason == "overloaded";
            end({ outcome, shed, refusal.retryAfter, refusal.reason + " " + refusal.detail });
        }

        /// Ends the stream if nothing else did.
        void endIfOpen() { end({ AttemptOutcome::Unknown, false, {}, "the request ended without an answer" }); }

    private:
        void end(ForwardResult end)
        {
            if (std::exchange(m_ended, true))
                return;
            m_responder.finish(std::move(end));
        }

        ForwardResponder& m_responder;
        bool m_ended = false;
    };

} // namespace

PeerService::PeerService(SessionServices services, SessionTable& sessions, const BlockingLog& log, std::size_t threads)
    : m_services(services)
    , m_sessions(sessions)
    , m_log(log)
    , m_messages(1)
    , m_forwards(threads)
{
}

void PeerService::onMessage(const ProcessId& from, PeerMessage message)
{
    m_messages.post([this, event = PeerMessageReceived { from, std::move(message) }] { m_services.core.submit(event); },
        maxWaitingMessages);
}

void PeerService::onPeerLost(const VmId& vm, const Error& error)
{
    m_log.write(LogEvent::PeerConnectionLost, "peer=" + vm + " error=\"" + describe(error) + "\"");
    m_messages.post([this, vm] { m_services.core.submit(PeerConnectionLost { vm }); });
}

void PeerService::onForward(
    const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder)
{
    const bool accepted = m_forwards.post([this, from, head = std::move(head), body = std::move(body),
                                              responder]() mutable { serve(from, head, std::move(body), *responder); },
        maxWaitingForwards);
    if (!accepted)
        responder->finish({ AttemptOutcome::NotRun, true, std::chrono::seconds(1), "no thread is free" });
}

void PeerService::serve(const ProcessId& from, const ForwardHead& head, std::string body, ForwardResponder& responder)
{
    const auto id = m_sessions.nextId();
    PeerSink sink(responder);
    IncomingRequest request { head.method, head.path, head.headers, std::move(body) };
    const auto session = std::make_shared<RequestSession>(m_services, id, std::move(request), sink);
    m_sessions.add(session);
    responder.onCancelled([weak = std::weak_ptr(session)] {
        if (const auto found = weak.lock())
            found->noteCallerGone();
    });
    session->serve(ForwardArrived {
        id, from, head.service, head.account, head.idempotent, std::chrono::duration_cast<Duration>(head.timeout) });
    m_sessions.remove(id);
    sink.endIfOpen();
}

void PeerService::stop()
{
    m_messages.stop();
    m_forwards.stop();
}

} // namespace arbutuscrank
