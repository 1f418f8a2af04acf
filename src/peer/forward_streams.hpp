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
/// The fields of ForwardHead travel as headers that begin with "f-", the caller's own headers with the prefix "h-", so
/// that neither can be taken for the other or for a header with a meaning in HTTP/2. The answer has :status 200 and its
/// own status in "f-status". The outcome travels in trailers, or in the headers if there is no answer.

namespace arbutuscrank::peer {

/// \brief Takes a header of a forwarded request. \returns false if it is malformed
[[nodiscard]] bool readForwardHeader(std::string_view name, std::string_view value, ForwardHead& head);

// --- Forwarding entry ------------------------------------------------------------------------------------------------

/// \brief POST /forward at the entry that sends the request.
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
    [[nodiscard]] bool ended() const noexcept { return m_ended; }
    void submit(Session& session);
    /// \brief Ends the forward; later calls do nothing.
    void end(ForwardResult end);
    void endNotRun(std::string detail);

    bool onHeader(std::string_view name, std::string_view value) override;
    void onHeadersComplete() override;
    bool onData(std::span<const std::uint8_t> bytes) override;
    void onClosed(const StreamEnd& end) override;
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags) override;
    [[nodiscard]] bool isControl() const override { return false; }

private:
    bool readEnd(std::string_view name, std::string_view value);

    std::shared_ptr<EventLoop> m_loop;
    ForwardHead m_head;
    std::string m_body;
    std::size_t m_bodyPos = 0;
    ForwardCallbacks m_callbacks;
    std::weak_ptr<Session> m_session;
    std::atomic<std::size_t> m_consumed = 0;
    bool m_cancelled = false;
    bool m_ended = false;
    bool m_answerStarted = false;
    int m_status = 0;
    HeaderList m_answerHeaders;
    bool m_endReported = false; ///< the owner told the outcome
    ForwardResult m_end;
};

// --- Owner -----------------------------------------------------------------------------------------------------------

/// \brief State that the owner's stream shares with the handler's threads.
class OwnerAnswer : public std::enable_shared_from_this<OwnerAnswer> {
public:
    /// Bytes of an answer that wait for the stream's window.
    static constexpr std::size_t bufferBytes = 128U << 10U;

    OwnerAnswer(std::shared_ptr<EventLoop> loop, std::weak_ptr<Session> session)
        : m_loop(std::move(loop))
        , m_session(std::move(session))
    {
    }

    // --- Handler's threads ---
    void start(int status, HeaderList headers);
    [[nodiscard]] bool write(std::span<const std::uint8_t> bytes);
    void finish(ForwardResult end);
    void onCancelled(std::function<void()> callback);
    /// \brief The handler dropped its responder; without \ref finish the stream is reset.
    void abandon();

    // --- Loop's thread ---
    void bind(Stream& stream) noexcept { m_stream = &stream; }
    void closed();
    ssize_t read(std::span<std::uint8_t> buf, std::uint32_t* flags);

private:
    void wake(std::unique_lock<std::mutex>& lock);
    void advance();
    void submitHead(Session& session, std::unique_lock<std::mutex>& lock);
    void submitEnd(Session& session);

    std::shared_ptr<EventLoop> m_loop;
    std::weak_ptr<Session> m_session;
    Stream* m_stream = nullptr; ///< loop's thread only; null once the stream is closed
    bool m_headSubmitted = false; ///< loop's thread only
    bool m_endSubmitted = false; ///< loop's thread only

    std::mutex m_mutex;
    std::condition_variable m_space;
    std::string m_buffer;
    std::size_t m_pos = 0; ///< start of the bytes in the buffer that were not sent
    bool m_started = false;
    int m_status = 0;
    HeaderList m_headers;
    bool m_finished = false;
    bool m_abandoned = false;
    bool m_gone = false;
    bool m_wakePosted = false;
    ForwardResult m_end;
    std::function<void()> m_cancelled;
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
    bool m_refused = false; ///< the body lacks bytes and must never be handed on
    std::shared_ptr<OwnerAnswer> m_answer;
};

} // namespace arbutuscrank::peer
