#include "peer/incoming_request.hpp"

#include "peer/forward_streams.hpp"
#include "peer/message_streams.hpp"
#include "peer/process_headers.hpp"

#include <memory>
#include <utility>

namespace arbutuscrank::peer {

bool IncomingRequest::onHeader(std::string_view name, std::string_view value)
{
    if (name == ":method") {
        m_method = value;
        return true;
    }
    if (name == ":path") {
        m_path = value;
        return true;
    }
    return readProcessHeader(name, value, m_sender) && readForwardHeader(name, value, m_head);
}

void IncomingRequest::onHeadersComplete()
{
    if (!m_session.identifyPeer(m_sender))
        return m_session.fail(
            "the sender did not identify itself, or it differs from the process that opened the session");
    if (m_path == messagePath && m_method == "GET") {
        const auto sender = std::make_shared<ServerMessageSender>(m_session);
        m_session.replaceStream(id, sender);
        m_session.startServerMessageSender(sender);
    } else if (m_path == messagePath && m_method == "POST") {
        m_session.incomingBatches[id]; // reserves its place: batches are delivered in the order of their streams
        m_session.replaceStream(id, std::make_shared<IncomingBatchStream>(m_session));
    } else if (m_path == forwardPath && m_method == "POST") {
        m_session.replaceStream(id, std::make_shared<OwnerForward>(m_session, std::move(m_head)));
    } else {
        m_session.reset(*this, NGHTTP2_REFUSED_STREAM);
    }
}

} // namespace arbutuscrank::peer
