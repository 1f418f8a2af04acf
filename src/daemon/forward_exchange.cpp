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

    /// Time after the deadline in which the owner can report its own timeout. Its report is more precise than a timeout
    /// at this entry, because only the owner can know that the request was not run.
    constexpr std::chrono::milliseconds ownerTimeoutMargin { 200 };

    struct AnswerHead {
        int status = 0;
        HeaderList headers;
    };
    using AnswerBody = std::vector<std::uint8_t>;
    using AnswerItem = std::variant<AnswerHead, AnswerBody, ForwardResult>;

    /// Passes the answer from the transport's thread to the thread that serves the caller.
    class AnswerQueue {
    public:
        void push(AnswerItem item)
        {
            {
                const std::lock_guard lock(m_mutex);
                m_items.push_back(std::move(item));
            }
            m_wakeUp.notify_one();
        }

        AnswerItem pop()
        {
            std::unique_lock lock(m_mutex);
            m_wakeUp.wait(lock, [this] { return !m_items.empty(); });
            auto item = std::move(m_items.front());
            m_items.pop_front();
            return item;
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_wakeUp;
        std::deque<AnswerItem> m_items;
    };

    std::optional<std::uint64_t> parseContentLength(const HeaderList& headers)
    {
        const auto text = headerValue(headers, "content-length");
        std::uint64_t length = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
        if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return length;
    }

    /// Relays the answer of one forwarded attempt to its sink.
    class ForwardExchange {
    public:
        ForwardExchange(const ForwardAttempt& attempt, AnswerSink& sink, AttemptControl& control,
            const std::function<void()>& onAnswerStarted)
            : m_sink(sink)
            , m_control(control)
            , m_onAnswerStarted(onAnswerStarted)
        {
            m_result.id = attempt.id;
            m_result.attempt = attempt.attempt;
        }

        AttemptEnded run(AnswerQueue& queue, ForwardStream& stream)
        {
            while (!m_isDone) {
                auto item = queue.pop();
                std::visit([this, &stream](auto& it) { handle(it, stream); }, item);
            }
            return m_result;
        }

    private:
        void handle(AnswerHead& head, ForwardStream& stream)
        {
            m_length = parseContentLength(head.headers);
            std::erase_if(head.headers, [](const auto& header) { return !mayPassToCaller(header.first); });
            m_onAnswerStarted();
            m_result.answerStarted = true;
            m_result.status = head.status;
            recordProgress();
            if (!m_sink.start(head.status, head.headers, m_length))
                abandon(stream);
        }

        void handle(const AnswerBody& body, ForwardStream& stream)
        {
            m_receivedBytes += body.size();
            recordProgress();
            if (!m_isAbandoned && !m_sink.write(body))
                abandon(stream);
            stream.consume(body.size());
        }

        void handle(const ForwardResult& end, ForwardStream& /*stream*/)
        {
            m_isDone = true;
            m_result.outcome = end.outcome;
            m_result.shed = end.shed;
            m_result.retryAfter = std::chrono::duration_cast<Duration>(end.retryAfter);
            m_result.detail = end.detail;
            const bool isComplete = !m_length || *m_length == m_receivedBytes;
            if (end.outcome == AttemptOutcome::Complete && m_result.answerStarted && isComplete && !m_isAbandoned)
                return m_sink.finish();
            if (end.outcome == AttemptOutcome::Complete)
                m_result.outcome = AttemptOutcome::Unknown;
            if (m_result.answerStarted)
                m_sink.abort();
        }

        /// Cancels the attempt at its owner after the caller has disconnected. The rest of the answer is dropped.
        void abandon(ForwardStream& stream)
        {
            m_isAbandoned = true;
            stream.cancel();
        }

        void recordProgress() { m_control.setDeadline(AttemptControl::Clock::now() + maxAnswerStall); }

        AnswerSink& m_sink;
        AttemptControl& m_control;
        const std::function<void()>& m_onAnswerStarted;
        AttemptEnded m_result;
        std::optional<std::uint64_t> m_length;
        std::uint64_t m_receivedBytes = 0;
        bool m_isAbandoned = false;
        bool m_isDone = false;
    };

} // namespace

AttemptEnded runForwardedAttempt(PeerTransport& peers, const ForwardAttempt& attempt, const IncomingRequest& request,
    AnswerSink& sink, AttemptControl& control, const std::function<void()>& onAnswerStarted)
{
    const auto remaining = attempt.deadline - CoreRunner::now();
    const auto queue = std::make_shared<AnswerQueue>();
    ForwardCallbacks callbacks;
    callbacks.onAnswerHead = [queue](int status, HeaderList headers) {
        queue->push(AnswerHead { status, std::move(headers) });
    };
    callbacks.onAnswerBody
        = [queue](std::span<const std::uint8_t> bytes) { queue->push(AnswerBody(bytes.begin(), bytes.end())); };
    callbacks.onEnd = [queue](ForwardResult end) { queue->push(std::move(end)); };
    ForwardHead head { attempt.service, attempt.account, request.method, request.path, attempt.idempotent, remaining,
        request.headers };
    const auto stream
        = peers.forward(PeerEndpoint { attempt.owner, attempt.address }, std::move(head), request.body, callbacks);
    const auto progressDeadline = AttemptControl::Clock::now() + remaining + ownerTimeoutMargin;
    if (!control.attach([stream] { stream->cancel(); }, progressDeadline))
        stream->cancel();
    auto result = ForwardExchange(attempt, sink, control, onAnswerStarted).run(*queue, *stream);
    control.detach();
    return result;
}

} // namespace arbutuscrank
