#include "telemetry/metrics.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::test {

// Guards against a busy event loop that the metrics do not show.
TEST(Metrics, ShowTheDelayOfTheEventLoop)
{
    Metrics metrics;
    EXPECT_EQ(metrics.toText().find("event_loop_delay"), std::string::npos);
    metrics.recordLoopDelay(0.002);
    metrics.recordLoopDelay(1.5);
    metrics.recordLoopDelay(0.004);
    const auto text = metrics.toText();
    EXPECT_NE(text.find("arbutuscrank_event_loop_delay_seconds_count{timer=\"tick\"} 3\n"), std::string::npos) << text;
    EXPECT_NE(text.find("arbutuscrank_event_loop_delay_max_seconds 1.5\n"), std::string::npos) << text;
}

} // namespace arbutuscrank::test
