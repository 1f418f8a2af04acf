#include "node/caller_session.hpp"
#include "node/loopback.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

namespace {

    using std::chrono::seconds;

    constexpr std::uint64_t limit = 1U << 20U;

    /// A connection that does what it is told.
    struct Peer {
        explicit Peer(CallerMemory& memory)
            : holder(memory.add(
                [this] {
                    ++refusals;
                    holder.setReceived(0, {});
                },
                [this] { ++closes; }))
        {
        }

        int refusals = 0;
        int closes = 0;
        CallerMemory::Holder holder;
    };

    struct CallerMemoryFailure : testing::Test {
        CallerMemory memory { limit };
        Peer one { memory };
        Peer two { memory };
        TimePoint start = TimePoint() + seconds(100);
    };

} // namespace

// Guards against a crowd of unfinished bodies that costs the long body of an ordinary caller its room.
TEST_F(CallerMemoryFailure, RequestThatStopsIsRefusedBeforeALargerOneThatMoves)
{
    one.holder.setReceived(limit / 4, start);
    two.holder.setReceived(limit, start + seconds(5));
    EXPECT_EQ(one.refusals, 1);
    EXPECT_EQ(two.refusals, 0);
    EXPECT_EQ(memory.bytes(), limit);
}

// Guards against a crowd of large bodies that leaves no room for an ordinary request.
TEST_F(CallerMemoryFailure, SmallRequestIsReceivedWhileThereIsNoRoomForLargeOnes)
{
    one.holder.setReceived(limit, start);
    const auto accepted = one.holder.acceptRequest();
    two.holder.setReceived(CallerMemory::smallRequestBytes, start);
    EXPECT_EQ(two.refusals, 0);
    two.holder.setReceived(CallerMemory::smallRequestBytes + 1, start);
    EXPECT_EQ(two.refusals, 1);
    EXPECT_EQ(one.closes + two.closes, 0);
}

// Guards against small requests that together exceed the memory, and against a second connection that is closed
// although the memory of the first is about to be free.
TEST_F(CallerMemoryFailure, ConnectionThatHoldsMostIsClosedPastTheLastLimit)
{
    std::vector<CallerMemory::Share> accepted;
    one.holder.setReceived(limit, start);
    accepted.push_back(one.holder.acceptRequest());
    for (std::uint64_t n = 0; n <= limit / 8; n += CallerMemory::smallRequestBytes) {
        two.holder.setReceived(CallerMemory::smallRequestBytes, start);
        accepted.push_back(two.holder.acceptRequest());
    }
    EXPECT_EQ(one.closes, 1);
    EXPECT_EQ(two.closes, 0);
    EXPECT_GT(memory.bytes(), limit);
    accepted.clear();
    EXPECT_EQ(memory.bytes(), 0U);
}

namespace {

    struct LimitedSession : testing::Test {
        LimitedSession()
        {
            limits.maxBodyBytes = 2 * limit;
            handlers = {
                .allocateId = [this] { return ++lastId; },
                .onRequest = [this](RequestId, const auto& request, const auto&) { received.push_back(request); },
                .onCallerDisconnected = [](RequestId) {},
                .limits = [this]() -> const entry::CallerLimits& { return limits; },
                .isStopping = [] { return false; },
                .logUnreadableRequest = [](const std::string&) {},
                .logConnectionDropped = [](const std::string&, std::size_t) {},
                .logConnectionCut = [](const ConnectionCut&) {},
                .needsBody = [this](const CallerRequest&) { return needsBody; },
                .memory = &memory,
            };
            Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            caller.connect(acceptor.local_endpoint());
            std::make_shared<CallerSession>(acceptor.accept(), handlers)->start();
            caller.non_blocking(true);
        }

        /// Sends while the event loop runs. \returns what was answered
        std::string exchange(const std::string& text, const std::function<bool(const std::string&)>& isDone)
        {
            std::string answer;
            std::size_t sent = 0;
            std::array<char, 4096> buf {};
            EXPECT_TRUE(runUntil(context, [&] {
                SystemError ec;
                sent += caller.write_some(asio::buffer(text) + sent, ec);
                answer.append(buf.data(), caller.read_some(asio::buffer(buf), ec));
                return isDone(answer);
            }));
            return answer;
        }

        static std::string post(std::size_t announced, std::size_t sent)
        {
            return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n"
                + std::string(sent, 'x');
        }

        asio::io_context context;
        CallerMemory memory { limit };
        entry::CallerLimits limits;
        CallerHandlers handlers;
        Tcp::socket caller { context };
        std::vector<std::shared_ptr<const CallerRequest>> received;
        bool needsBody = true;
        RequestId lastId = 0;
    };

} // namespace

// Guards against a refusal that the caller does not get, or that keeps the memory.
TEST_F(LimitedSession, RequestPastTheMemoryIsRefusedAsNotRun)
{
    const auto answer
        = exchange(post(2 * limit, 2 * limit), [](const auto& it) { return it.find("\r\n\r\n") != std::string::npos; });
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_TRUE(received.empty());
    EXPECT_EQ(memory.bytes(), 0U);
}

// Guards against memory for bytes that were announced and have not arrived.
TEST_F(LimitedSession, AnnouncedBodyIsNotAllocated)
{
    exchange(post(limit, 10), [this](const auto&) { return memory.bytes() != 0; });
    EXPECT_LT(memory.bytes(), CallerMemory::smallRequestBytes);
}

// Guards against bodies that are kept although no target gets them, and against a request that is passed on without its
// body after a change of the configuration.
TEST_F(LimitedSession, BodyThatIsNotNeededIsDropped)
{
    needsBody = false;
    exchange(post(2 * limit, 2 * limit), [this](const auto&) { return received.size() == 1; });
    EXPECT_TRUE(received.at(0)->body().empty());
    EXPECT_LT(memory.bytes(), CallerMemory::smallRequestBytes);
}

TEST_F(LimitedSession, BodyThatWasDroppedAndIsNeededAfterAllIsRefused)
{
    needsBody = false;
    exchange(post(10, 9), [this](const auto&) { return memory.bytes() != 0; });
    needsBody = true;
    const auto answer = exchange("x", [](const auto& it) { return it.find("\r\n\r\n") != std::string::npos; });
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_TRUE(received.empty());
}

// Guards against heads of legal size that need a multiple of it once they are parsed.
TEST_F(LimitedSession, TooManyFieldsAreRefused)
{
    limits.maxHeaderFields = 10;
    std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < 10; ++i)
        request += "a:\r\n";
    const auto answer
        = exchange(request + "\r\n", [](const auto& it) { return it.find("\r\n\r\n") != std::string::npos; });
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431")) << answer;
    EXPECT_TRUE(received.empty());
}

// Guards against blocks of a body that are sent in another order or with bytes missing.
TEST_F(LimitedSession, BodyOfManyBlocksIsWhole)
{
    const std::size_t n = limit / 2 + 1;
    exchange(post(n, n), [this](const auto&) { return received.size() == 1; });
    std::string body;
    for (std::size_t i = 0; const auto* block = received.at(0)->body().block(i); ++i)
        body.append(block->bytes.get(), block->size);
    EXPECT_EQ(body, std::string(n, 'x'));
    EXPECT_GE(memory.bytes(), n);
    received.clear();
    EXPECT_EQ(memory.bytes(), 0U);
}

} // namespace arbutuscrank::node::test
