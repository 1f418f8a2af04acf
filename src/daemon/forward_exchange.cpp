#include "daemon/forward_exchange.hpp"
#include "daemon/core_runner.hpp"
#include "daemon/target_client.hpp"

#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <variant>

namespace arbutuscrank {

namespace {

    /// Time past the deadline in which the owner reports its own time-out, which knows more than ours.
    constexpr std::chrono::milliseconds ownerGrace { 200 };

    struct AnswerHead {
        int status = 0;
        HeaderList headers;
    };
    using AnswerBody = std::vector<std::uint8_t>;
    using AnswerItem = std::variant<AnswerHead, AnswerBody, ForwardResult>;

    /// Carries what the transport's thread receives to the thread that serves the caller.
    class AnswerQueue {
    public:
        void push(AnswerItem item)
        {
            {
                const std::lock_guard lock(m_mutex);
                m_items.push_back(std::move(item));
            }
            m_wake.notify_one();
        }

        AnswerItem pop()
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] { return !m_items.empty(); });
            auto item = std::move(m_items.front());
            m_items.pop_front();
            return item;
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_wake;
        std::deque<AnswerItem> m_items;
    };

    std::optional<std::uint64_t> lengthOf(const HeaderList& headers)
    {
        const auto text = headerValue(headers, "content-length");
        std::uint64_t length = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
        if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return length;
    }

    /// Consumes the answer of one forwarded attempt.
    class ForwardExchange {
    public:
        ForwardExchange(const ForwardAttempt& attempt, AnswerSink& sink, AttemptControl& control,
            const std::function<void()>& answerStarted)
            : m_sink(sink)
            , m_control(control)
            , m_answerStarted(answerStarted)
        {
            m_end.id = attempt.id;
            m_end.attempt = attempt.attempt;
        }

        AttemptEnded run(AnswerQueue& queue, ForwardStream& stream)
        {
            while (!m_done) {
                auto item = queue.pop();
                std::visit([this, &stream](auto& it) { take(it, stream); }, item);
            }
            return m_end;
        }

    private:
        void take(AnswerHead& head, ForwardStream& stream)
        {
            m_length = lengthOf(head.headers);
            std::erase_if(head.headers, [](const auto& header) { return !mayPassToCaller(header.first); });
            m_answerStarted();
            m_end.answerStarted = true;
            m_end.status = head.status;
            progress();
            if (!m_sink.start(head.status, head.headers, m_length))
                lose(stream);
        }

        void take(const AnswerBody& body, ForwardStream& stream)
        {
            m_received += body.size();
            progress();
            if (!m_lost && !m_sink.write(body))
                lose(stream);
            stream.consume(body.size());
        }

        void take(const ForwardResult& end, ForwardStream& /*stream*/)
        {
            m_done = true;
            m_end.outcome = end.outcome;
            m_end.shed = end.shed;
            m_end.retryAfter = std::chrono::duration_cast<Duration>(end.retryAfter);
            m_end.detail = end.detail;
            const bool whole = !m_length || *m_length == m_received;
            if (end.outcome == AttemptOutcome::Complete && m_end.answerStarted && whole && !m_lost)
                return m_sink.finish();
            if (end.outcome == AttemptOutcome::Complete)
                m_end.outcome = AttemptOutcome::Unknown;
            if (m_end.answerStarted)
                m_sink.abort();
        }

        /// The caller went away: the owner is told, and what it still sends is dropped.
        void lose(ForwardStream& stream)
        {
            m_lost = true;
            stream.cancel();
        }

        void progress() { m_control.extend(AttemptControl::Clock::now() + maxAnswerStall); }

        AnswerSink& m_sink;
        AttemptControl& m_control;
        const std::function<void()>& m_answerStarted;
        AttemptEnded m_end;
        std::optional<std::uint64_t> m_length;
        std::uint64_t m_received = 0;
        bool m_lost = false;
        bool m_done = false;
    };

} // namespace

AttemptEnded runForward(PeerTransport& peers, const ForwardAttempt& attempt, const IncomingRequest& request,
    AnswerSink& sink, AttemptControl& control, const std::function<void()>& answerStarted)
{
    const auto left = attempt.deadline - CoreRunner::now();
    const auto queue = std::make_shared<AnswerQueue>();
    ForwardCallbacks callbacks;
    callbacks.onAnswerHead = [queue](int status, HeaderList headers) {
        queue->push(AnswerHead { status, std::move(headers) });
    };
    callbacks.onAnswerBody
        = [queue](std::span<const std::uint8_t> bytes) { queue->push(AnswerBody(bytes.begin(), bytes.end())); };
    callbacks.onEnd = [queue](ForwardResult end) { queue->push(std::move(end)); };
    ForwardHead head { attempt.service, attempt.account, request.method, request.path, attempt.idempotent, left,
        request.headers };
    const auto stream
        = peers.forward(PeerEndpoint { attempt.owner, attempt.address }, std::move(head), request.body, callbacks);
    const auto limit = AttemptControl::Clock::now() + left + ownerGrace;
    if (!control.attach([stream] { stream->cancel(); }, limit))
        stream->cancel();
    auto end = ForwardExchange(attempt, sink, control, answerStarted).run(*queue, *stream);
    control.detach();
    return end;
}

} // namespace arbutuscrank
