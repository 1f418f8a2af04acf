#include "node/message_codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace arbutuscrank::node::test {

namespace {

    using namespace arbutuscrank::entry;

    template <typename T> T roundTrip(const T& message)
    {
        const auto decoded = decodeMessage(encodeMessage(message));
        EXPECT_TRUE(decoded);
        return std::get<T>(decoded.value());
    }

} // namespace

// Guards against fields that are encoded and decoded at different positions.
TEST(MessageCodec, RoundTripsADomainReport)
{
    const DomainReport report { .coordinator = { "vm1", 77 },
        .sequence = 5,
        .failureDomain = "north-a",
        .region = "north",
        .storeUptime = std::chrono::milliseconds(1500),
        .storeContactAge = std::chrono::milliseconds(40),
        .vms = { { "vm1", true, false }, { "vm2", false, true } },
        .acknowledgedReports = { { "south-a", { 9, 12 } } },
        .accounts = { { "acme", { 40, 2.5 } } },
        .demand = { { "cart", 8.0 } },
        .mixes = { { "cart", { { { "north", 2.5 } }, { { { 1, 2 }, 0.5 } }, { { 15, 4.0 } } } } },
        .inFlight = { { 123456, 3 } } };
    const auto it = roundTrip(report);
    EXPECT_EQ(it.coordinator, report.coordinator);
    EXPECT_EQ(it.sequence, 5U);
    EXPECT_EQ(it.failureDomain, "north-a");
    EXPECT_EQ(it.storeUptime, report.storeUptime);
    EXPECT_EQ(it.storeContactAge, report.storeContactAge);
    EXPECT_EQ(it.vms, report.vms);
    EXPECT_EQ(it.acknowledgedReports.at("south-a").sequence, 12U);
    EXPECT_EQ(it.accounts.at("acme").admitted, 40U);
    EXPECT_EQ(it.demand, report.demand);
    EXPECT_EQ(it.mixes, report.mixes);
    EXPECT_EQ(it.inFlight, report.inFlight);
}

// Guards against a field for work that the sender does not report because it shares no room.
TEST(MessageCodec, OmitsTheWorkWhereNoneIsReported)
{
    const DomainReport report { .mixes = { { "cart", { .restrictedPerSecond = { { "north", 2.5 } } } } } };
    const auto encoded = encodeMessage(report);
    const auto json = nlohmann::json::from_cbor(encoded.begin(), encoded.end());
    EXPECT_NE(json.dump().find(R"({"cart":[{"north":2.5}]})"), std::string::npos) << json.dump();
    EXPECT_EQ(roundTrip(report).mixes, report.mixes);
}

// Guards against a digest whose domains lose their accounts on the way to another VM.
TEST(MessageCodec, RoundTripsADigestWithTheAccountsOfDomains)
{
    Digest digest { .coordinator = { "vm1", 77 }, .sequence = 5, .leaving = true };
    digest.demandByRegion["north"]["cart"] = 8;
    digest.mixesByRegion["north"]["cart"] = { { { "south", 4.0 } }, { { 0, 1.5 } }, { { 19, 2.0 } } };
    digest.domains.push_back({ .failureDomain = "south-a", .accounts = { { "acme", { 40, 2.5 } } } });
    const auto it = roundTrip(digest);
    EXPECT_TRUE(it.leaving);
    EXPECT_EQ(it.demandByRegion, digest.demandByRegion);
    EXPECT_EQ(it.mixesByRegion, digest.mixesByRegion);
    ASSERT_EQ(it.domains.size(), 1U);
    EXPECT_EQ(it.domains.front().accounts.at("acme").admitted, 40U);
}

// Guards against fields that are encoded and decoded at different positions.
TEST(MessageCodec, RoundTripsReportsAndAdmissionMessages)
{
    const VmReport report { .process = { "vm1", 7 }, .sequence = 2, .ready = true, .inFlight = { { 1, 2 } } };
    EXPECT_EQ(roundTrip(report).inFlight, report.inFlight);
    EXPECT_EQ(roundTrip(AdmissionRequest { "vm1", 9, "acme" }).account, "acme");
    const auto answer = roundTrip(AdmissionDecision { 9, false, std::chrono::milliseconds(120) });
    EXPECT_EQ(answer.retryAfter, std::chrono::milliseconds(120));
    EXPECT_EQ(roundTrip(TokenReturn { "acme" }).account, "acme");
}

// Guards against a reading that reaches another VM without its era, by which it would be taken for an earlier one.
TEST(MessageCodec, RoundTripsTheEraAndTheHeldEvacuations)
{
    const VmReport report { .process = { "vm1", 7 },
        .evacuations = { .revision = 12,
            .failureDomains = { "north-a" },
            .era = 2,
            .held = { { "south-a", std::chrono::milliseconds(1500) } } } };
    const auto it = roundTrip(report).evacuations;
    EXPECT_EQ(it.revision, 12U);
    EXPECT_EQ(it.failureDomains, report.evacuations.failureDomains);
    EXPECT_EQ(it.era, 2U);
    EXPECT_EQ(it.held, report.evacuations.held);
}

// Guards against reports that are lost because their sender omits the slack classes, as it does while it has none.
TEST(MessageCodec, DecodesAMixWithoutSlackClasses)
{
    VmReport report { .process = { "vm1", 7 } };
    report.mixes["cart"] = { { { "north", 2.5 } }, { { { 1, 2 }, 0.5 } }, { { 15, 4.0 } } };
    auto json = nlohmann::json::from_cbor(encodeMessage(report));
    for (auto& part : json.at(1)) {
        if (part.is_object() && part.contains("cart") && part.at("cart").is_array())
            part.at("cart").erase(2);
    }
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto decoded = decodeMessage(bytes);
    ASSERT_TRUE(decoded);
    const auto& mix = std::get<VmReport>(decoded.value()).mixes.at("cart");
    EXPECT_EQ(mix.slotsByRank, report.mixes.at("cart").slotsByRank);
    EXPECT_TRUE(mix.movableByClass.empty());
}

// Guards against a crash or a changed state due to a datagram that is truncated or of another version or kind.
TEST(MessageCodec, RejectsUnreadableDatagrams)
{
    const auto whole = encodeMessage(VmReport { .process = { "vm1", 7 } });
    for (std::size_t n = 0; n < whole.size(); ++n)
        EXPECT_FALSE(decodeMessage(std::string_view(whole).substr(0, n))) << n;
    std::string other;
    nlohmann::json::to_cbor({ 1, { 0 } }, other);
    EXPECT_FALSE(decodeMessage(other));
    other.clear();
    nlohmann::json::to_cbor({ 2, { 99 } }, other);
    EXPECT_FALSE(decodeMessage(other));
}

} // namespace arbutuscrank::node::test
