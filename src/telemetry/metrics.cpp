#include "telemetry/metrics.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace arbutuscrank {

namespace {

    constexpr unsigned latencyBins = 120;
    constexpr double shortestLatency = 50e-6;
    constexpr double longestLatency = 100;

    constexpr std::array quantiles { 0.5, 0.9, 0.99, 0.999 };

    /// The one refusal that says that the account used more than its rate; all others happen inside the rate.
    constexpr std::string_view rateReason = "rate-exceeded";

    std::string number(double value)
    {
        std::array<char, 32> buf {};
        const int n = std::snprintf(buf.data(), buf.size(), "%.6g", value);
        return { buf.data(), static_cast<std::size_t>(n) };
    }

    std::string labels(const std::pair<std::string, std::string>& key)
    {
        return "account=\"" + key.first + "\",service=\"" + key.second + "\"";
    }

    void addSummary(
        std::string& text, const std::string& name, const std::string& labelText, const LatencyHistogram& histogram)
    {
        for (const double q : quantiles) {
            text.append(name).append("{").append(labelText).append(",quantile=\"").append(number(q)).append("\"} ");
            text.append(number(histogram.quantile(q))).append("\n");
        }
        text += name + "_count{" + labelText + "} " + std::to_string(histogram.count()) + "\n";
        text += name + "_sum{" + labelText + "} " + number(histogram.sum()) + "\n";
    }

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(latencyBins, shortestLatency, longestLatency)))
{
}

void LatencyHistogram::record(double seconds)
{
    m_histogram(std::max(seconds, shortestLatency));
    ++m_count;
    m_sum += seconds;
}

double LatencyHistogram::quantile(double q) const
{
    if (m_count == 0)
        return 0;
    const double wanted = q * static_cast<double>(m_count);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(m_histogram)) {
        seen += static_cast<double>(*bin);
        if (seen >= wanted)
            return bin.bin().upper();
    }
    return longestLatency;
}

Metrics::Series& Metrics::find(std::string_view account, std::string_view service)
{
    return m_series[{ std::string(account), std::string(service) }];
}

void Metrics::recordAnswer(std::string_view account, std::string_view service, double seconds, bool whole)
{
    const std::lock_guard lock(m_mutex);
    auto& series = find(account, service);
    series.latency.record(seconds);
    if (!whole)
        ++series.cutShort;
}

void Metrics::recordRefusal(std::string_view account, std::string_view service, std::string_view reason)
{
    const std::lock_guard lock(m_mutex);
    ++find(account, service).refusals[std::string(reason)];
}

void Metrics::recordDrain(double seconds)
{
    const std::lock_guard lock(m_mutex);
    m_drains.record(seconds);
}

std::string Metrics::toText() const
{
    const std::lock_guard lock(m_mutex);
    std::string text = "# TYPE arbutuscrank_lookups_total counter\n";
    text += "arbutuscrank_lookups_total " + std::to_string(m_lookups.load(std::memory_order_relaxed)) + "\n";
    text += "# TYPE arbutuscrank_request_seconds summary\n";
    double worst = 0;
    for (const auto& [key, series] : m_series) {
        addSummary(text, "arbutuscrank_request_seconds", labels(key), series.latency);
        worst = std::max(worst, series.latency.quantile(0.99));
    }
    text += "# TYPE arbutuscrank_worst_account_p99_seconds gauge\n";
    text += "arbutuscrank_worst_account_p99_seconds " + number(worst) + "\n";
    text += "# TYPE arbutuscrank_refusals_total counter\n";
    for (const auto& [key, series] : m_series) {
        for (const auto& [reason, n] : series.refusals) {
            const auto* const inside = reason == rateReason ? "false" : "true";
            text += "arbutuscrank_refusals_total{" + labels(key) + ",reason=\"" + reason + "\",inside_rate=\"" + inside
                + "\"} " + std::to_string(n) + "\n";
        }
        text += "arbutuscrank_answers_cut_short_total{" + labels(key) + "} " + std::to_string(series.cutShort) + "\n";
    }
    text += "# TYPE arbutuscrank_drain_seconds summary\n";
    addSummary(text, "arbutuscrank_drain_seconds", "kind=\"target\"", m_drains);
    return text;
}

} // namespace arbutuscrank
