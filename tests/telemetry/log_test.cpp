#include "telemetry/non_blocking_log.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <unistd.h>

namespace arbutuscrank::test {

namespace {

    /// What the log writes for one event.
    std::string logLine(std::string_view detail)
    {
        std::array<int, 2> pipe {};
        EXPECT_EQ(::pipe(pipe.data()), 0);
        {
            NonBlockingLog log("vm-1", "info", pipe[1]);
            log.write(LogEvent::StoreEntryRefused, detail, TimePoint {});
        }
        std::array<char, 65536> buf {};
        const auto n = ::read(pipe[0], buf.data(), buf.size());
        ::close(pipe[0]);
        ::close(pipe[1]);
        return { buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0 };
    }

} // namespace

// Guards against the name of an object in the store that writes lines of its own into the log, or control sequences to
// the terminal on which it is read.
TEST(Log, AnEventIsOneLineWithoutControlCharacters)
{
    const auto text = logLine("name=a\r\n2026-01-01T00:00:00.000Z level=info event=100 vm=vm-1\x1b[2J\x7f\t");
    ASSERT_FALSE(text.empty());
    EXPECT_EQ(text.back(), '\n');
    EXPECT_TRUE(std::all_of(text.begin(), text.end() - 1, [](unsigned char it) { return it >= ' ' && it != 0x7f; }));
    EXPECT_NE(text.find(R"(name=a\r\n2026-01-01)"), std::string::npos) << text;
    EXPECT_NE(text.find(R"(vm-1\x1b[2J\x7f\t)"), std::string::npos) << text;
}

// Guards against an entry in the store whose value fills the log's buffer, so that other lines are dropped.
TEST(Log, ALongDetailIsCut)
{
    constexpr std::size_t detailBytes = 60'000;
    constexpr std::size_t maxLineBytes = 10'000;
    const auto text = logLine("found=" + std::string(detailBytes, 'x'));
    EXPECT_LT(text.size(), maxLineBytes);
    EXPECT_NE(text.find("found=xxx"), std::string::npos);
    EXPECT_NE(text.find(" more bytes"), std::string::npos);
}

// Guards against names that the log makes unreadable.
TEST(Log, OtherCharactersStayAsTheyAre)
{
    EXPECT_NE(logLine("name=\"caf\xc3\xa9 &+#%\"").find("name=\"caf\xc3\xa9 &+#%\""), std::string::npos);
}

} // namespace arbutuscrank::test
