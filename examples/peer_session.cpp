#include <arbutuscrank/peer.hpp>

#include <condition_variable>
#include <iostream>
#include <mutex>

/// \file
/// \brief Connects the peer transports of two daemons in one process; one forwards a request and the other answers it.

namespace {

using namespace arbutuscrank;

/// Answers each forwarded request with the path of the request.
class EchoHandler : public PeerTransportHandler {
public:
    void onMessage(const ProcessId& from, PeerMessage message) override
    {
        std::cout << "message of type " << message.index() << " from " << from.vm << '\n';
    }
    void onPeerLost(const VmId& /*vm*/, const Error& error) override { std::cout << describe(error) << '\n'; }
    void onForward(const ProcessId& /*from*/, ForwardHead head, std::string /*body*/,
        std::shared_ptr<ForwardResponder> responder) override
    {
        // ForwardResponder::write may block while the send buffer is full, so a daemon answers on another thread. This
        // answer fits into the buffer.
        responder->start(200, { { "content-type", "text/plain" } });
        const std::span path(reinterpret_cast<const std::uint8_t*>(head.path.data()), head.path.size());
        const bool written = responder->write(path);
        responder->finish({ written ? AttemptOutcome::Complete : AttemptOutcome::Unknown, false, {}, {} });
    }
};

} // namespace

int main()
{
    EchoHandler handler;
    const auto entry = makePeerTransport({ { "entry", 1 }, "127.0.0.1:0" }, handler);
    const auto owner = makePeerTransport({ { "owner", 1 }, "127.0.0.1:0" }, handler);
    for (const auto* it : { &entry, &owner }) {
        if (const auto started = (*it)->start(); !started) {
            std::cerr << describe(started.error()) << '\n';
            return 1;
        }
    }

    std::mutex mutex;
    std::condition_variable ended;
    std::string answer;
    std::shared_ptr<ForwardStream> stream;
    std::optional<ForwardResult> result;
    ForwardCallbacks callbacks;
    callbacks.onAnswerBody = [&](std::span<const std::uint8_t> bytes) {
        const std::lock_guard lock(mutex);
        answer.append(bytes.begin(), bytes.end());
    };
    callbacks.onEnd = [&](ForwardResult it) {
        const std::lock_guard lock(mutex);
        result = std::move(it);
        ended.notify_all();
    };
    ForwardHead head { "kitty", "shop", "GET", "/balances/17", true, std::chrono::seconds(2), {} };
    stream = entry->forward({ "owner", owner->boundAddress() }, std::move(head), {}, std::move(callbacks));

    std::unique_lock lock(mutex);
    ended.wait(lock, [&] { return result.has_value(); });
    std::cout << "answer '" << answer << "', complete " << (result->outcome == AttemptOutcome::Complete) << '\n';
    return result->outcome == AttemptOutcome::Complete && answer == "/balances/17" ? 0 : 1;
}
