#include "settings.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace arbutuscrank::platform {

namespace {

    /// Sets the soft limit of this process on descriptors, and restores it at the end.
    class SoftLimit {
    public:
        explicit SoftLimit(rlim_t descriptors)
        {
            EXPECT_EQ(::getrlimit(RLIMIT_NOFILE, &m_before), 0);
            auto limit = m_before;
            limit.rlim_cur = descriptors;
            EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
        }
        ~SoftLimit() { ::setrlimit(RLIMIT_NOFILE, &m_before); }
        SoftLimit(const SoftLimit&) = delete;
        SoftLimit& operator=(const SoftLimit&) = delete;

        [[nodiscard]] rlim_t hard() const { return m_before.rlim_max; }
        [[nodiscard]] static rlim_t current()
        {
            rlimit limit {};
            EXPECT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
            return limit.rlim_cur;
        }

    private:
        rlimit m_before {};
    };

} // namespace

// Guards against a process that takes connections past its limit on descriptors. It then could neither accept callers
// nor connect to targets, and closed no idle connection, because the settings allowed more.
TEST(DescriptorLimitFailure, LowerLimitOfTheProcessIsUsed)
{
    entry::EntrySettings settings;
    ASSERT_TRUE(applyDescriptorLimit(settings, 600));
    EXPECT_EQ(settings.maxSockets, 400U);
    EXPECT_EQ(settings.descriptorLimit, 600U);
}

// Guards against an event about a limit that does not bind.
TEST(DescriptorLimitFailure, HigherLimitOfTheProcessChangesNothing)
{
    entry::EntrySettings settings;
    const auto wanted = settings.maxSockets;
    ASSERT_TRUE(applyDescriptorLimit(settings, 1024));
    EXPECT_EQ(settings.maxSockets, wanted);
    EXPECT_EQ(settings.descriptorLimit, 0U);
}

// Guards against a process that starts and then fails for want of descriptors.
TEST(DescriptorLimitFailure, TooLowALimitIsAnErrorThatNamesIt)
{
    entry::EntrySettings settings;
    EXPECT_TRUE(applyDescriptorLimit(settings, 264));
    EXPECT_EQ(settings.maxSockets, 64U);
    const auto result = applyDescriptorLimit(settings, 263);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().code, ErrorCode::InvalidArgument);
    EXPECT_NE(result.error().detail.find("RLIMIT_NOFILE"), std::string::npos);
    EXPECT_NE(result.error().detail.find("264"), std::string::npos);
    EXPECT_NE(result.error().detail.find("263"), std::string::npos);
}

// Guards against a process that keeps a low soft limit although its hard limit allows what the settings name, and
// against one that takes more.
TEST(DescriptorLimitFailure, SoftLimitIsRaisedToWhatTheSettingsNeed)
{
    entry::EntrySettings settings;
    settings.maxSockets = 300;
    const SoftLimit limit(100);
    const auto needed = std::min<rlim_t>(500, limit.hard());
    EXPECT_EQ(raiseDescriptorLimit(settings), needed);
    EXPECT_EQ(SoftLimit::current(), needed);
    settings.maxSockets = 10;
    EXPECT_EQ(raiseDescriptorLimit(settings), needed);
    EXPECT_EQ(SoftLimit::current(), needed);
}

// Guards against a limit that is reported as raised although the hard limit does not allow it.
TEST(DescriptorLimitFailure, SoftLimitIsNotRaisedAboveTheHardOne)
{
    entry::EntrySettings settings;
    settings.maxSockets = std::numeric_limits<std::uint32_t>::max();
    const SoftLimit limit(100);
    const auto expected = std::min<rlim_t>(limit.hard(), rlim_t { settings.maxSockets } + 200);
    EXPECT_EQ(raiseDescriptorLimit(settings), expected);
    EXPECT_EQ(SoftLimit::current(), expected);
}

} // namespace arbutuscrank::platform
