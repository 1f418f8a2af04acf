#include "telemetry/metrics.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace arbutuscrank {

namespace {

    constexpr unsigned latencyBinCount = 120;
    constexpr double minLatencySeconds = 50e-6;
    constexpr double maxLatencySeconds = 100;

    constexpr std::array quantiles { 0.5, 0.9, 0.99, 0.999 };

    /// Reason of a refusal because the account exceeded its rate. All other refusals are within the rate.
    constexpr std::string_view rateExceededReason = "rate-exceeded";

    std::string formatNumber(double value)
    {
        std::array<char, 32> buf {};
        const int n = std::snprintf(buf.data(), buf.size(), "%.6g", value);
        return { buf.data(), static_cast<std::size_t>(n) };
    }

    std::string formatLabels(const std::pair<std::string, std::string>& key)
    {
        return "account=\"" + escapeLabel(key.first) + "\",service=\"" + escapeLabel(key.second) + "\"";
    }

    void appendSummary(
        std::string& text, const std::string& name, const std::string& labels, const LatencyHistogram& histogram)
    {
        for (const double q : quantiles) {
            text.append(name).append("{").append(labels).append(",quantile=\"").append(formatNumber(q)).append("\"} ");
            text.append(formatNumber(histogram.quantile(q))).append("\n");
        }
        text += name + "_count{" + labels + "} " + std::to_string(histogram.count()) + "\n";
        text += name + "_sum{" + labels + "} " + formatNumber(histogram.sum()) + "\n";
    }

} // namespace

std::string escapeLabel(std::string_view value)
{
    std::string out;
    for (const char it : value) {
        if (it == '\n') {
            out += "\\n";
            continue;
        }
        if (it == '"' || it == '\\')
            out += '\\';
        out += it;
    }
    return out;
}

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(latencyBinCount, minLatencySeconds, maxLatencySeconds)))
{
}

void LatencyHistogram::record(double seconds)
{
    m_histogram(std::max(seconds, minLatencySeconds));
    ++m_count;
    m_sum += seconds;
}

double LatencyHistogram::quantile(double q) const
{
    if (m_count == 0)
        return 0;
    const double targetCount = q * static_cast<double>(m_count);
    double cumulativeCount = 0;
    for (auto&& bin : boost::histogram::indexed(m_histogram)) {
        cumulativeCount += static_cast<double>(*bin);
        if (cumulativeCount >= targetCount)
            return bin.bin().upper();
    }
    return maxLatencySeconds;
}

Metrics::Series& Metrics::findOrAddSeries(std::string_view account, std::string_view service)
{
    return m_series[{ std::string(account), std::string(service) }];
}

void Metrics::recordAnswer(std::string_view account, std::string_view service, double seconds, bool isComplete)
{
    const std::lock_guard lock(m_mutex);
    auto& series = findOrAddSeries(account, service);
    series.latency.record(seconds);
    if (!isComplete)
        ++series.truncatedResponses;
}

void Metrics::recordRefusal(std::string_view account, std::string_view service, std::string_view reason)
{
    const std::lock_guard lock(m_mutex);
    ++findOrAddSeries(account, service).refusals[std::string(reason)];
}

void Metrics::recordDrain(double seconds)
{
    const std::lock_guard lock(m_mutex);
    m_drainDurations.record(seconds);
}

void Metrics::recordLoopDelay(double seconds)
{
    const std::lock_guard lock(m_mutex);
    m_loopDelays.record(seconds);
    m_maxLoopDelaySeconds = std::max(m_maxLoopDelaySeconds, seconds);
}

std::string Metrics::toText() const
{
    const std::lock_guard lock(m_mutex);
    std::string text = "# TYPE arbutuscrank_lookups_total counter\n";
    text += "arbutuscrank_lookups_total " + std::to_string(m_lookups.load(std::memory_order_relaxed)) + "\n";
    text += "# TYPE arbutuscrank_request_seconds summary\n";
    double worstP99Seconds = 0;
    for (const auto& [key, series] : m_series) {
        appendSummary(text, "arbutuscrank_request_seconds", formatLabels(key), series.latency);
        worstP99Seconds = std::max(worstP99Seconds, series.latency.quantile(0.99));
    }
    text += "# TYPE arbutuscrank_worst_account_p99_seconds gauge\n";
    text += "arbutuscrank_worst_account_p99_seconds " + formatNumber(worstP99Seconds) + "\n";
    text += "# TYPE arbutuscrank_refusals_total counter\n";
    for (const auto& [key, series] : m_series) {
        for (const auto& [reason, n] : series.refusals) {
            const auto* const insideRate = reason == rateExceededReason ? "false" : "true";
            text += "arbutuscrank_refusals_total{" + formatLabels(key) + ",reason=\"" + reason + "\",inside_rate=\""
                + insideRate + "\"} " + std::to_string(n) + "\n";
        }
        text += "arbutuscrank_answers_cut_short_total{" + formatLabels(key) + "} "
            + std::to_string(series.truncatedResponses) + "\n";
    }
    text += "# TYPE arbutuscrank_drain_seconds summary\n";
    appendSummary(text, "arbutuscrank_drain_seconds", "kind=\"target\"", m_drainDurations);
    if (m_loopDelays.count() != 0) {
        text += "# TYPE arbutuscrank_event_loop_delay_seconds summary\n";
        appendSummary(text, "arbutuscrank_event_loop_delay_seconds", "timer=\"tick\"", m_loopDelays);
        text += "# TYPE arbutuscrank_event_loop_delay_max_seconds gauge\n";
        text += "arbutuscrank_event_loop_delay_max_seconds " + formatNumber(m_maxLoopDelaySeconds) + "\n";
    }
    return text;
}

} // namespace arbutuscrank
