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

// Guards against the name of an account or a service that makes all metrics unreadable for the scraper.
TEST(Metrics, EscapeNamesInLabels)
{
    Metrics metrics;
    metrics.recordAnswer("a\"b\\c\nd", "s\"", 0.1, true);
    metrics.recordRefusal("a\"b\\c\nd", "s\"", "over-quota");
    const auto text = metrics.toText();
    const std::string labels = R"(account="a\"b\\c\nd",service="s\"")";
    EXPECT_NE(text.find("arbutuscrank_request_seconds_count{" + labels + "} 1\n"), std::string::npos) << text;
    EXPECT_NE(text.find("arbutuscrank_refusals_total{" + labels + ",reason="), std::string::npos) << text;
}

} // namespace arbutuscrank::test
