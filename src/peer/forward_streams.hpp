#pragma once

#include "peer/session.hpp"

#include <arbutuscrank/peer/transport.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

/// \file
/// \brief Streams that carry forwarded requests.
///
/// The fields of ForwardHead are sent as headers with the prefix "f-", the caller's headers with the prefix "h-". The
/// prefixes keep the two apart, and keep caller headers from having a meaning in HTTP/2. The response has :status 200;
/// the status of the answer is in "f-status". The result is sent in trailers, or in the headers if there is no answer.

namespace arbutuscrank::peer {

/// \brief Stores a header of a forwarded request in \p head; unknown headers are ignored.
/// \returns false if its value is malformed
[[nodiscard]] bool readForwardHeader(std::string_view name, std::string_view value, ForwardHead& head);

// --- Forwarding entry ------------------------------------------------------------------------------------------------

/// \brief POST /forward at the entry that forwards the request.
class ClientForward : public Stream, public ForwardStream, public std::enable_shared_from_this<ClientForward> {
public:
    ClientForward(std::shared_ptr<EventLoop> loop, ForwardHead head, std::string body, ForwardCallbacks callbacks)
        : m_loop(std::move(loop))
        , m_head(std::move(head))
        , m_body(std::move(body))
        , m_callbacks(std::move(callbacks))
    {
    }

    // --- Any thread ---
    void cancel() override;
    void consume(std::size_t bytes) override;

    // --- Loop's thread ---
    [[nodiscard]] bool hasEnded() const noexcept { return m_hasEnded; }
    void submit(Session& session);
    /// \brief Calls onEnd with the result; later calls have no effect.
    void end(ForwardResult result);
    void endNotRun(std::string detail);

    bool onHeader(std::string_view name, std::string_view value) override;
    void onHeadersComplete() override;
    bool onData(std::span<const std::uint8_t> bytes) override;
    void onClosed(const StreamEnd& end) override;
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags) override;
    [[nodiscard]] bool isControl() const override { return false; }

private:
    bool readResultHeader(std::string_view name, std::string_view value);

    std::shared_ptr<EventLoop> m_loop;
    ForwardHead m_head;
    std::string m_body;
    std::size_t m_bodyPos = 0;
    ForwardCallbacks m_callbacks;
    std::weak_ptr<Session> m_session;
    std::atomic<std::size_t> m_consumedBytes = 0;
    bool m_isCancelled = false;
    bool m_hasEnded = false;
    bool m_hasAnswerStarted = false;
    int m_status = 0;
    HeaderList m_answerHeaders;
    bool m_isResultReported = false; ///< the owner has sent the result
    ForwardResult m_result;
};

// --- Owner -----------------------------------------------------------------------------------------------------------

/// \brief Answer to a forwarded request. The threads that produce it share it with the owner's stream.
class OwnerAnswer : public std::enable_shared_from_this<OwnerAnswer> {
public:
    /// Bound on the bytes of an answer that are buffered while the stream's flow-control window is exhausted.
    static constexpr std::size_t maxBufferedBytes = 128U << 10U;

    OwnerAnswer(std::shared_ptr<EventLoop> loop, std::weak_ptr<Session> session)
        : m_loop(std::move(loop))
        , m_session(std::move(session))
    {
    }

    // --- Handler's threads ---
    void start(int status, HeaderList headers);
    [[nodiscard]] bool write(std::span<const std::uint8_t> bytes);
    void finish(ForwardResult result);
    void onCancelled(std::function<void()> callback);
    /// \brief Called when the handler destroys its responder. Resets the stream unless \ref finish was called.
    void abandon();

    // --- Loop's thread ---
    void setStream(Stream& stream) noexcept { m_stream = &stream; }
    void onStreamClosed();
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags);

private:
    /// \brief Posts \ref updateStream to the loop unless that is pending; releases the lock meanwhile.
    void scheduleUpdate(std::unique_lock<std::mutex>& lock);
    /// \brief Passes the state that the producing threads changed on to the stream.
    void updateStream();
    void submitHead(Session& session, std::unique_lock<std::mutex>& lock);
    void submitResult(Session& session);

    std::shared_ptr<EventLoop> m_loop;
    std::weak_ptr<Session> m_session;
    Stream* m_stream = nullptr; ///< loop's thread only; null once the stream is closed
    bool m_isHeadSubmitted = false; ///< loop's thread only
    bool m_isResultSubmitted = false; ///< loop's thread only

    std::mutex m_mutex;
    std::condition_variable m_bufferSpaceFreed;
    std::string m_buffer;
    std::size_t m_bufferPos = 0; ///< start of the bytes in the buffer that nghttp2 has not read
    bool m_isStarted = false;
    int m_status = 0;
    HeaderList m_headers;
    bool m_isFinished = false;
    bool m_isAbandoned = false;
    bool m_isStreamClosed = false;
    bool m_isUpdateScheduled = false;
    ForwardResult m_result;
    std::function<void()> m_cancelCallback;
};

/// \brief POST /forward at the entry that owns the target.
class OwnerForward : public Stream {
public:
    OwnerForward(Session& session, ForwardHead head)
        : m_session(session)
        , m_head(std::move(head))
    {
    }

    bool onHeader(std::string_view /*name*/, std::string_view /*value*/) override { return true; }
    bool onData(std::span<const std::uint8_t> bytes) override;
    void onEndOfStream() override;
    void onClosed(const StreamEnd& end) override;
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags) override;
    [[nodiscard]] bool isControl() const override { return false; }

private:
    Session& m_session;
    ForwardHead m_head;
    std::string m_body;
    bool m_isRefused = false; ///< part of the body was discarded, so the request must never be delivered
    std::shared_ptr<OwnerAnswer> m_answer;
};

} // namespace arbutuscrank::peer
