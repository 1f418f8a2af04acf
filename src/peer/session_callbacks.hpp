#pragma once

#include "peer/session.hpp"

/// \file
/// \brief Callbacks that nghttp2 invokes for a session.

namespace arbutuscrank::peer {

/// \brief Creates nghttp2 sessions and passes their callbacks on to \ref Session and \ref Stream.
struct SessionCallbacks {
    [[nodiscard]] static nghttp2_session* newSession(Session& session, bool client);
    /// \brief Builds the provider through which nghttp2 reads a request or response body from the stream.
    [[nodiscard]] static nghttp2_data_provider makeBodyProvider(Stream& stream) noexcept;

private:
    static int onBeginHeaders(nghttp2_session* http, const nghttp2_frame* frame, void* user);
    static int onHeader(nghttp2_session* http, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t flags, void* user);
    static int onDataChunk(nghttp2_session* http, std::uint8_t flags, std::int32_t id, const std::uint8_t* data,
        std::size_t size, void* user);
    static int onFrameReceived(nghttp2_session* http, const nghttp2_frame* frame, void* user);
    static int onBeforeFrameSend(nghttp2_session* http, const nghttp2_frame* frame, void* user);
    static int onFrameSent(nghttp2_session* http, const nghttp2_frame* frame, void* user);
    static int onStreamClosed(nghttp2_session* http, std::int32_t id, std::uint32_t errorCode, void* user);
    static ssize_t readBody(nghttp2_session* http, std::int32_t id, std::uint8_t* buf, std::size_t size,
        std::uint32_t* flags, nghttp2_data_source* source, void* user);
    static void excludeForwardBytes(Session& session, const nghttp2_frame& frame, bool isSent);
};

} // namespace arbutuscrank::peer
