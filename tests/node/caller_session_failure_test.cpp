#include "node/caller_session.hpp"
#include "node/loopback.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

namespace {

    /// A session whose requests the test answers, and the socket of its caller.
    struct CallerSessionFailure : testing::Test {
        CallerSessionFailure()
        {
            limits.maxBodyBytes = 8;
            handlers = {
                .allocateId = [this] { return ++lastId; },
                .onRequest =
                    [this](RequestId id, const auto& request, const auto& newSession) {
                        receivedRequests.push_back({ id, std::string(request->target()) });
                        session = newSession;
                    },
                .onCallerDisconnected = [this](RequestId id) { abandonedRequests.push_back(id); },
                .limits = [this]() -> const entry::CallerLimits& { return limits; },
                .isStopping = [this] { return isStopping; },
                .logUnreadableRequest = [](const std::string&) {},
                .logConnectionDropped = [this](const std::string&, std::size_t) { ++droppedConnections; },
                .logConnectionCut = [this](const ConnectionCut& cut) { cuts.push_back(cut); },
            };
            Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            caller.connect(acceptor.local_endpoint());
            std::make_shared<CallerSession>(acceptor.accept(), handlers)->start();
        }

        void answer(RequestId id, const std::string& body)
        {
            CallerAnswer out(http::status::ok, 11);
            out.body() = body;
            session->answer(id, std::move(out));
        }

        std::string readAvailable(std::size_t atLeast)
        {
            std::string text;
            runUntil(context, [&] {
                std::array<char, 4096> buf {};
                SystemError ec;
                caller.non_blocking(true);
                const auto n = caller.read_some(asio::buffer(buf), ec);
                text.append(buf.data(), n);
                return text.size() >= atLeast || ec == asio::error::eof;
            });
            return text;
        }

        /// Reads until the connection ends, while the event loop runs. \returns the number of bytes
        std::size_t readToEnd()
        {
            std::size_t total = 0;
            SystemError ec;
            std::vector<char> buf(1U << 20U);
            caller.non_blocking(true);
            const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
            while ((!ec || ec == asio::error::would_block) && std::chrono::steady_clock::now() < end) {
                total += caller.read_some(asio::buffer(buf), ec);
                context.restart();
                context.run_for(std::chrono::milliseconds(1));
            }
            EXPECT_EQ(ec, asio::error::eof);
            return total;
        }

        asio::io_context context;
        CallerHandlers handlers;
        entry::CallerLimits limits;
        Tcp::socket caller { context };
        std::shared_ptr<CallerSession> session;
        std::vector<std::pair<RequestId, std::string>> receivedRequests;
        std::vector<RequestId> abandonedRequests;
        RequestId lastId = 0;
        std::vector<ConnectionCut> cuts;
        int droppedConnections = 0;
        bool isStopping = false;
    };

    std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

} // namespace

// Guards against pipelined requests that run one after the other, and against answers in another order than that of
// their requests.
TEST_F(CallerSessionFailure, PipelinedRequestsRunTogetherAndAreAnsweredInOrder)
{
    writeText(caller, get("/1") + get("/2"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 2; }));
    answer(2, "second");
    answer(1, "first");
    const auto text = readAvailable(100);
    EXPECT_LT(text.find("first"), text.find("second"));
    EXPECT_NE(text.find("second"), std::string::npos);
}

// Guards against work on requests whose caller has closed the connection.
TEST_F(CallerSessionFailure, CloseAbandonsAllPendingRequests)
{
    writeText(caller, get("/1") + get("/2"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 2; }));
    caller.close();
    EXPECT_TRUE(runUntil(context, [&] { return abandonedRequests.size() == 2; }));
}

// Guards against requests that are sent to a target after their caller has disconnected. This happens if the event loop
// of a busy VM has not yet handled the close.
TEST_F(CallerSessionFailure, DetectsACloseThatTheEventLoopHasNotHandled)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    EXPECT_FALSE(session->hasCallerClosed());
    caller.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // the event loop does not run
    EXPECT_TRUE(session->hasCallerClosed());
    EXPECT_TRUE(abandonedRequests.empty());
}

// Guards against requests that are sent to a target although their caller has disconnected, because further requests on
// the connection hide the close.
TEST_F(CallerSessionFailure, DetectsACloseBehindUnreadRequests)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    writeText(caller, get("/2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // the event loop does not run
    EXPECT_FALSE(session->hasCallerClosed());
    caller.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    EXPECT_TRUE(session->hasCallerClosed());
    EXPECT_EQ(receivedRequests.size(), 1U);
}

// Guards against a stop that aborts a request, and against callers that stay connected to a stopping VM.
TEST_F(CallerSessionFailure, StopAnswersAndThenCloses)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    isStopping = true;
    session->closeIfNoneUnanswered(); // has no effect, because an answer is pending
    answer(1, "whole");
    const auto text = readAvailable(100000);
    EXPECT_NE(text.find("whole"), std::string::npos);
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
}

// Guards against request smuggling: if Content-Length and Transfer-Encoding contradict each other, a body can hide
// another request.
TEST_F(CallerSessionFailure, AmbiguousLengthIsRejected)
{
    writeText(caller,
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + get("/hidden"));
    const auto text = readAvailable(20);
    EXPECT_NE(text.find("400"), std::string::npos);
    EXPECT_TRUE(receivedRequests.empty());
}

// Guards against a caller that exhausts memory with a body over the limit.
TEST_F(CallerSessionFailure, OversizedBodyIsRejected)
{
    writeText(caller, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789");
    EXPECT_NE(readAvailable(20).find("413"), std::string::npos);
    EXPECT_TRUE(receivedRequests.empty());
}

// Guards against memory that grows without limit while a caller sends the extension of a chunk without end.
TEST_F(CallerSessionFailure, EndlessChunkExtensionIsRejected)
{
    constexpr std::size_t socketBufferBytes = 12U << 20U;
    SystemError ec;
    asio::write(
        caller, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=")), ec);
    const std::string block(64U << 10U, 'x');
    std::size_t writtenBytes = 0;
    caller.non_blocking(true);
    (void)runUntil(context, [&] {
        ec = {};
        while (!ec && writtenBytes < 4 * socketBufferBytes)
            writtenBytes += caller.write_some(asio::buffer(block), ec);
        return ec != asio::error::would_block || writtenBytes >= 4 * socketBufferBytes;
    });
    EXPECT_LE(writtenBytes, socketBufferBytes);
    EXPECT_TRUE(receivedRequests.empty());
}

// Guards against a request that is read late in a planned stop and cut off when the process ends.
TEST_F(CallerSessionFailure, ReadsNoFurtherRequestLateInAStop)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    isStopping = true;
    session->stopReading();
    writeText(caller, get("/2"));
    context.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(receivedRequests.size(), 1U);
    answer(1, "first");
    const auto text = readAvailable(1);
    EXPECT_NE(text.find("Connection: close"), std::string::npos) << text;
    EXPECT_NE(text.find("first"), std::string::npos) << text;
    EXPECT_EQ(receivedRequests.size(), 1U);
    EXPECT_TRUE(abandonedRequests.empty());
}

// Guards against a VM that runs out of memory because a caller sends requests and does not read their answers.
TEST_F(CallerSessionFailure, CallerThatLeavesTooManyAnswersUnreadLosesItsConnection)
{
    constexpr std::size_t answerBytes = 16U << 20U;
    AnswerMemory memory(answerBytes * 3 / 2);
    writeText(caller, get("/1") + get("/2"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 2; }));
    auto share = memory.hold("target", [] { ADD_FAILURE() << "the caller holds more"; });
    share.resize(answerBytes);
    CallerAnswer large(http::status::ok, 11);
    large.body() = std::string(answerBytes, 'x');
    session->answer(1, std::move(large), std::move(share));
    context.run_for(std::chrono::milliseconds(50));
    auto other = memory.hold("other target", [] { ADD_FAILURE() << "the caller holds more"; });
    other.resize(answerBytes / 2);
    EXPECT_EQ(droppedConnections, 0);
    other.resize(answerBytes / 2 + 1);
    EXPECT_EQ(droppedConnections, 1);
    EXPECT_EQ(abandonedRequests, std::vector<RequestId> { 2 });
    EXPECT_TRUE(runUntil(context, [&] { return memory.bytes() == answerBytes / 2 + 1; }));
    EXPECT_EQ(memory.releasedAnswers(), 1U);
}

// Guards against a connection that closes without its answers while it reads no further request, because nothing owns
// it: the requests had all run.
TEST_F(CallerSessionFailure, ConnectionWithManyPipelinedRequestsStaysOpen)
{
    constexpr std::size_t requestCount = 70;
    std::string requests;
    for (std::size_t i = 0; i < requestCount; ++i)
        requests += get("/1");
    writeText(caller, requests);
    context.run_for(std::chrono::milliseconds(500));
    ASSERT_LT(receivedRequests.size(), requestCount);
    const std::weak_ptr<CallerSession> weak = session;
    session.reset();
    context.restart();
    context.run_for(std::chrono::milliseconds(500));
    session = weak.lock();
    ASSERT_TRUE(session);
    for (std::size_t i = 0; i < requestCount; ++i) {
        ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() > i; }));
        answer(receivedRequests[i].first, "end");
    }
    EXPECT_TRUE(abandonedRequests.empty());
    EXPECT_NE(readAvailable(requestCount * 40).find("end"), std::string::npos);
}

// Guards against work for a caller that has disconnected while its connection reads no further request.
TEST_F(CallerSessionFailure, CloseIsNoticedBehindManyPipelinedRequests)
{
    std::string requests;
    for (int i = 0; i < 70; ++i)
        requests += get("/1");
    writeText(caller, requests);
    context.run_for(std::chrono::milliseconds(300));
    const auto n = receivedRequests.size();
    ASSERT_GT(n, 0U);
    caller.close();
    EXPECT_TRUE(runUntil(context, [&] { return abandonedRequests.size() == n; }));
}

// Guards against a stop that closes a connection without the answer to a request that runs, because further requests
// arrive on it.
TEST_F(CallerSessionFailure, RequestsBehindTheLastOneOfAStopDoNotCloseTheConnection)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    isStopping = true;
    session->stopReading();
    const std::weak_ptr<CallerSession> weak = session;
    session.reset();
    for (const auto* path : { "/2", "/3" }) {
        writeText(caller, get(path));
        context.restart();
        context.run_for(std::chrono::milliseconds(300));
    }
    session = weak.lock();
    ASSERT_TRUE(session);
    answer(1, "first");
    EXPECT_NE(readAvailable(1).find("first"), std::string::npos);
    EXPECT_EQ(receivedRequests.size(), 1U);
    EXPECT_TRUE(abandonedRequests.empty());
}

// Guards against a request that runs although it came behind an answer that closes its connection: its caller gets no
// answer, and sends it again.
TEST_F(CallerSessionFailure, RequestBehindAClosingAnswerIsNotAccepted)
{
    constexpr std::size_t answerBytes = 16U << 20U;
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    isStopping = true;
    answer(1, std::string(answerBytes, 'x'));
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    writeText(caller, get("/2"));
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(receivedRequests.size(), 1U);
    EXPECT_GT(readToEnd(), answerBytes);
    EXPECT_TRUE(abandonedRequests.empty());
}

// Guards against an answer whose end is lost, because its connection is closed with unread requests and thereby reset.
TEST_F(CallerSessionFailure, UnreadRequestsDoNotCutTheLastAnswer)
{
    constexpr std::size_t answerBytes = 1U << 20U; // fits into the buffers of the connection
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    isStopping = true;
    session->stopReading();
    for (const auto* path : { "/2", "/3", "/4" }) {
        writeText(caller, get(path));
        context.restart();
        context.run_for(std::chrono::milliseconds(20));
    }
    answer(1, std::string(answerBytes, 'x'));
    context.restart();
    context.run_for(std::chrono::milliseconds(300)); // the whole answer is in the buffers
    EXPECT_GT(readToEnd(), answerBytes);
    EXPECT_EQ(receivedRequests.size(), 1U);
}

// Guards against an answer whose end is lost because its caller reads slowly and sends further requests meanwhile.
TEST_F(CallerSessionFailure, SlowCallerGetsItsLastAnswerWhole)
{
    constexpr std::size_t answerBytes = 1U << 20U; // fits into the buffers of the connection
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    isStopping = true;
    answer(1, std::string(answerBytes, 'x'));
    for (const auto* path : { "/2", "/3", "/4" }) {
        writeText(caller, get(path));
        context.restart();
        context.run_for(std::chrono::milliseconds(500));
    }
    EXPECT_GT(readToEnd(), answerBytes);
    EXPECT_EQ(receivedRequests.size(), 1U);
    EXPECT_TRUE(cuts.empty());
}

// Guards against an answer whose end is lost because a planned stop closes its connection, on which no request is
// unanswered, and the caller sends another one at that moment.
TEST_F(CallerSessionFailure, StopDoesNotCutAnAnswerThatItsCallerHasNotReceived)
{
    constexpr std::size_t answerBytes = 1U << 20U; // fits into the buffers of the connection
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    answer(1, std::string(answerBytes, 'x'));
    context.run_for(std::chrono::milliseconds(100));
    isStopping = true;
    session->stopReading();
    session->closeIfNoneUnanswered();
    writeText(caller, get("/2"));
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    EXPECT_GT(readToEnd(), answerBytes);
    EXPECT_EQ(receivedRequests.size(), 1U);
}

// Guards against a reset of a request that has arrived on an idle connection when a planned stop closes it: its caller
// cannot tell whether the request ran.
TEST_F(CallerSessionFailure, StopAnswersARequestThatHasArrivedOnAnIdleConnection)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    answer(1, "first");
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
    isStopping = true;
    writeText(caller, get("/2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // the event loop does not run
    session->stopReading();
    session->closeIfNoneUnanswered();
    EXPECT_FALSE(session->owesNothing());
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 2; }));
    answer(2, "second");
    const auto text = readAvailable(100000);
    EXPECT_NE(text.find("second"), std::string::npos);
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
}

// Guards against the loss of an answer, because nothing owns its connection while an unreadable request waits behind
// it.
TEST_F(CallerSessionFailure, UnreadableRequestDoesNotCutTheAnswerBeforeIt)
{
    writeText(caller, get("/1") + "unreadable\r\n\r\n");
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    const std::weak_ptr<CallerSession> weak = session;
    session.reset();
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    session = weak.lock();
    ASSERT_TRUE(session);
    answer(1, "first");
    const auto text = readAvailable(100000);
    EXPECT_NE(text.find("first"), std::string::npos);
    EXPECT_NE(text.find("HTTP/1.1 400"), std::string::npos);
}

// Guards against an answer that is cut because a stop begins while it is written and its caller sends a further
// request.
TEST_F(CallerSessionFailure, RequestBehindAnAnswerThatIsBeingWrittenDoesNotCutIt)
{
    constexpr std::size_t answerBytes = 16U << 20U;
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    answer(1, std::string(answerBytes, 'x'));
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    isStopping = true;
    session->stopReading();
    session.reset();
    writeText(caller, get("/2"));
    context.restart();
    context.run_for(std::chrono::milliseconds(500));
    EXPECT_GT(readToEnd(), answerBytes);
    EXPECT_EQ(receivedRequests.size(), 1U);
}

// Guards against requests that a planned stop takes from a caller whose earlier answers may not all arrive in time.
TEST_F(CallerSessionFailure, StopTakesNoRequestBehindAnAnswerThatItsCallerDoesNotTake)
{
    constexpr std::size_t answerBytes = 16U << 20U; // exceeds the buffers of the connection
    writeText(caller, get("/1") + get("/2"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 2; }));
    isStopping = true;
    answer(1, std::string(answerBytes, 'x'));
    writeText(caller, get("/3"));
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(receivedRequests.size(), 2U);
    const std::weak_ptr<CallerSession> weak = session;
    session.reset();
    std::string text;
    while (text.size() <= answerBytes) {
        const auto part = readAvailable(1);
        ASSERT_FALSE(part.empty());
        text += part;
    }
    context.restart();
    context.run_for(std::chrono::milliseconds(300));
    session = weak.lock();
    ASSERT_TRUE(session);
    answer(2, "second");
    EXPECT_NE(readAvailable(100000).find("Connection: close"), std::string::npos);
    EXPECT_EQ(receivedRequests.size(), 2U);
}

// Guards against requests that a planned stop takes behind a long one, and whose answers wait for it until too little
// time is left for a caller that reads slowly.
TEST_F(CallerSessionFailure, StopTakesNoRequestBehindAnAnswerThatWaitsForAnEarlierOne)
{
    writeText(caller, get("/1") + get("/2"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 2; }));
    isStopping = true;
    answer(2, "second");
    writeText(caller, get("/3"));
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(receivedRequests.size(), 2U);
    answer(1, "first");
    const auto text = readAvailable(100000);
    EXPECT_LT(text.find("first"), text.find("second"));
    EXPECT_LT(text.find("Connection: close"), text.find("second"));
    EXPECT_EQ(receivedRequests.size(), 2U);
}

// Guards against a log that does not say what was lost with a connection.
TEST_F(CallerSessionFailure, OutstandingDataAreReportedWhenTheProcessEnds)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    session->reportProcessEnd();
    ASSERT_EQ(cuts.size(), 1U);
    EXPECT_EQ(cuts[0].cause, CloseCause::ProcessEnd);
    EXPECT_EQ(cuts[0].unansweredRequests, 1U);
    EXPECT_EQ(cuts[0].unreadBytes, 0U);
    EXPECT_EQ(cuts[0].unacknowledgedBytes, 0U);
    answer(1, "whole");
    writeText(caller, get("/2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // the event loop does not run
    session->reportProcessEnd();
    ASSERT_EQ(cuts.size(), 2U);
    EXPECT_EQ(cuts[1].unreadBytes, get("/2").size());
}

// Guards against connections that stay open because their caller does not close them.
TEST_F(CallerSessionFailure, ConnectionThatItsCallerLeavesOpenIsClosed)
{
    writeText(caller, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    answer(1, "whole");
    const std::weak_ptr<CallerSession> weak = session;
    session.reset();
    EXPECT_TRUE(runUntil(context, [&] { return weak.expired(); }));
}

// Guards against a connection that is closed as idle just after its answer, because the idle time began when the
// answered request was accepted. A request that the caller sent at that moment was lost.
TEST_F(CallerSessionFailure, IdleTimeBeginsWithTheAnswer)
{
    using std::chrono::milliseconds;
    limits.idleTimeout = milliseconds(600);
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    context.restart();
    context.run_for(milliseconds(500));
    answer(1, "first");
    const auto answeredAt = std::chrono::steady_clock::now();
    EXPECT_FALSE(readAvailable(40).empty());
    context.restart();
    context.run_for(milliseconds(300));
    ASSERT_FALSE(session->isClosed());
    ASSERT_TRUE(runUntil(context, [&] { return session->isClosed(); }));
    EXPECT_GE(std::chrono::steady_clock::now() - answeredAt, limits.idleTimeout);
    EXPECT_TRUE(cuts.empty());
}

// Guards against a request that is lost because the idle time ends after it has arrived and before the event loop reads
// it.
TEST_F(CallerSessionFailure, RequestThatArrivesAtTheEndOfTheIdleTimeIsRead)
{
    using std::chrono::milliseconds;
    limits.idleTimeout = milliseconds(200);
    limits.headerTimeout = milliseconds(300);
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return receivedRequests.size() == 1; }));
    answer(1, "first");
    EXPECT_FALSE(readAvailable(40).empty());
    // Both timers have expired when the event loop runs again; this one is handled first.
    asio::steady_timer timer(context, limits.idleTimeout / 2);
    timer.async_wait([&](SystemError) { writeText(caller, get("/2")); });
    std::this_thread::sleep_for(limits.idleTimeout * 2);
    context.restart();
    context.run_for(milliseconds(100));
    EXPECT_EQ(receivedRequests.size(), 2U);
    EXPECT_TRUE(cuts.empty());
}

} // namespace arbutuscrank::node::test
