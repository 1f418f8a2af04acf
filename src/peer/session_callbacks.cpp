#include "peer/session_callbacks.hpp"

#include "peer/incoming_request.hpp"

#include <memory>
#include <new>

namespace arbutuscrank::peer {

namespace {

    constexpr std::int64_t frameHeaderBytes = 9;

    Session& toSession(void* user) noexcept { return *static_cast<Session*>(user); }

    std::string_view toStringView(const std::uint8_t* data, std::size_t size) noexcept
    {
        return { reinterpret_cast<const char*>(data), size };
    }

} // namespace

nghttp2_session* SessionCallbacks::newSession(Session& session, bool client)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* option = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0 || nghttp2_option_new(&option) != 0)
        throw std::bad_alloc();
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &onFrameReceived);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, &onBeforeFrameSend);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &onFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &onStreamClosed);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_session* http = nullptr;
    const int libraryError = client ? nghttp2_session_client_new2(&http, callbacks, &session, option)
                                    : nghttp2_session_server_new2(&http, callbacks, &session, option);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_option_del(option);
    if (libraryError != 0)
        throw std::bad_alloc();
    return http;
}

nghttp2_data_provider SessionCallbacks::makeBodyProvider(Stream& stream) noexcept
{
    nghttp2_data_provider provider {};
    provider.source.ptr = &stream;
    provider.read_callback = &readBody;
    return provider;
}

int SessionCallbacks::onBeginHeaders(nghttp2_session* /*http*/, const nghttp2_frame* frame, void* user)
{
    auto& session = toSession(user);
    if (auto* stream = session.findStream(frame->hd.stream_id)) {
        stream->headerBytes = 0;
        return 0;
    }
    if (session.isClient())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    session.replaceStream(frame->hd.stream_id, std::make_shared<IncomingRequest>(session));
    return 0;
}

int SessionCallbacks::onHeader(nghttp2_session* /*http*/, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t /*flags*/, void* user)
{
    auto* stream = toSession(user).findStream(frame->hd.stream_id);
    if (stream == nullptr)
        return 0;
    stream->headerBytes += nameSize + valueSize;
    if (stream->headerBytes > maxHeaderBytes)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    return stream->onHeader(toStringView(name, nameSize), toStringView(value, valueSize))
        ? 0
        : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

int SessionCallbacks::onDataChunk(nghttp2_session* http, std::uint8_t /*flags*/, std::int32_t id,
    const std::uint8_t* data, std::size_t size, void* user)
{
    // Connection credit is returned on receipt, so that a stream whose reader is slow does not block messages and other
    // streams on the connection. Only the stream's own window limits it.
    nghttp2_session_consume_connection(http, size);
    auto& session = toSession(user);
    const auto it = session.m_streams.find(id);
    if (it == session.m_streams.end())
        return 0;
    const auto stream = it->second; // keeps the stream alive: onData may replace or close it
    if (!stream->onData({ data, size }))
        session.reset(*stream, NGHTTP2_REFUSED_STREAM);
    return 0;
}

int SessionCallbacks::onFrameReceived(nghttp2_session* /*http*/, const nghttp2_frame* frame, void* user)
{
    auto& session = toSession(user);
    excludeForwardBytes(session, *frame, false);
    if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)
        return 0;
    if (frame->hd.type == NGHTTP2_HEADERS) {
        if (const auto it = session.m_streams.find(frame->hd.stream_id); it != session.m_streams.end()) {
            const auto stream = it->second;
            stream->onHeadersComplete();
        }
    }
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        if (const auto it = session.m_streams.find(frame->hd.stream_id); it != session.m_streams.end()) {
            const auto stream = it->second;
            stream->onEndOfStream();
        }
    }
    return 0;
}

int SessionCallbacks::onBeforeFrameSend(nghttp2_session* /*http*/, const nghttp2_frame* frame, void* user)
{
    auto& session = toSession(user);
    if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
        return 0;
    if (auto* stream = session.findStream(frame->hd.stream_id))
        stream->requestOffset = session.m_producedBytes;
    return 0;
}

int SessionCallbacks::onFrameSent(nghttp2_session* /*http*/, const nghttp2_frame* frame, void* user)
{
    excludeForwardBytes(toSession(user), *frame, true);
    return 0;
}

int SessionCallbacks::onStreamClosed(nghttp2_session* /*http*/, std::int32_t id, std::uint32_t errorCode, void* user)
{
    toSession(user).endStream(id, errorCode);
    return 0;
}

ssize_t SessionCallbacks::readBody(nghttp2_session* /*http*/, std::int32_t id, std::uint8_t* buf, std::size_t size,
    std::uint32_t* flags, nghttp2_data_source* /*source*/, void* user)
{
    auto* stream = toSession(user).findStream(id);
    if (stream == nullptr)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    return stream->read({ buf, size }, flags);
}

/// Subtracts a frame of a forward from the control bytes, which count all socket traffic. The HEADERS frame of an
/// incoming forward is not subtracted, because its stream is still an IncomingRequest.
void SessionCallbacks::excludeForwardBytes(Session& session, const nghttp2_frame& frame, bool isSent)
{
    const auto* stream = session.findStream(frame.hd.stream_id);
    if (stream == nullptr || stream->isControl())
        return;
    const auto bytes = static_cast<std::int64_t>(frame.hd.length) + frameHeaderBytes;
    session.owner().countBytes(isSent ? -bytes : 0, isSent ? 0 : -bytes);
}

} // namespace arbutuscrank::peer
