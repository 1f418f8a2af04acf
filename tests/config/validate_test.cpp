#include "config/sample_document.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>

using namespace arbutuscrank;
using nlohmann::json;

namespace {

std::vector<Fault> parseFaults(std::string_view text)
{
    auto parsed = parseDocument(text);
    const auto* faults = std::get_if<std::vector<Fault>>(&parsed);
    return faults == nullptr ? std::vector<Fault> {} : *faults;
}

/// \brief Faults of the sample document after setting the value at a JSON pointer. A discarded value removes the
/// field.
std::vector<Fault> parseFaultsWithChange(const std::string& pointer, const json& value)
{
    auto tree = sampleTree();
    const json::json_pointer location(pointer);
    if (value.is_discarded())
        tree[location.parent_pointer()].erase(location.back());
    else
        tree[location] = value;
    return parseFaults(tree.dump());
}

const json removedField = json::value_t::discarded;

} // namespace

// Guards against an invalid value that is accepted, reported at another path, or reported with misleading further
// faults, for example because other fields refer to it.
TEST(Validate, EachFaultIsReportedAtItsPath)
{
    struct Case {
        std::string pointer; ///< JSON pointer of the changed value
        json value;
        std::string path; ///< expected path of the only fault; empty if equal to pointer
    };
    const std::string zeros(64, '0');
    const std::vector<Case> cases {
        { "/extra", 1, "" },
        { "/accounts/0/extra~1field", 1, "" },
        { "/schema", 2, "" },
        { "/accounts/0", 7, "" },
        { "/shifts", removedField, "" },
        { "/links", json::object(), "" },
        { "/accounts/0/name", removedField, "" },
        { "/accounts/0/name", nullptr, "" },
        { "/accounts/0/name", "", "" },
        { "/accounts/0/name", "a/b", "" },
        { "/accounts/0/name", std::string(65, 'a'), "" },
        { "/accounts/0/name", "acme", "/accounts/1/name" },
        { "/accounts/0/withdrawn", 1, "" },
        { "/accounts/0/ratePerSecond", 1'000'000.5, "" },
        { "/accounts/0/ratePerSecond", -1, "" },
        { "/accounts/0/ratePerSecond", "5", "" },
        { "/accounts/0/burst", 10'000'001, "" },
        { "/accounts/0/keys/0/digest", std::string(64, 'A'), "" },
        { "/accounts/0/keys/0/digest", zeros.substr(1), "" },
        { "/accounts/0/keys/0/id", "a.b", "" },
        { "/accounts/1/keys", json::array({ { { "id", "s1" }, { "digest", zeros } } }), "/accounts/1/keys/0/id" },
        { "/accounts/0/services/0", "unknown", "" },
        { "/accounts/0/services/1", "kitty", "" },
        { "/accounts/0/regions/0", "unknown", "" },
        { "/regions/1/failureDomains/1", "bg-1", "" },
        { "/links/0/a", "unknown", "" },
        { "/links/0/b", "bangor", "" },
        { "/links/1", json { { "a", "caerdydd" }, { "b", "bangor" } }, "" },
        { "/services/0/pathPrefix", "/kitty", "" },
        { "/services/0/openPathPrefixes/0", "/other/", "" },
        { "/services/0/openPathPrefixes/0", "/kitty/../other", "" },
        { "/services/0/openPathPrefixes/0", "/kitty/%2e", "" },
        { "/services/0/defaultTimeoutMs", 0, "" },
        { "/services/0/defaultTimeoutMs", 30'001, "" },
        { "/services/0/defaultTimeoutMs", 1.5, "" },
        { "/services/0/slotsPerTarget", 4'294'967'297, "" },
        { "/services/0/connectionsPerTarget", 5, "" },
        { "/services/0/spill/0/region", "unknown", "" },
        { "/services/0/spill/1", json { { "region", "bangor" } }, "/services/0/spill/1/region" },
        { "/services/0/targets/0/address", "10.1.0.1", "" },
        { "/services/0/targets/0/address", "10.1.0.256:80", "" },
        { "/services/0/targets/0/address", "10.1.0.1:0", "" },
        { "/services/0/targets/0/address", "10.1.0.1:65536", "" },
        { "/services/0/targets/0/address", "10.2.0.1:80", "/services/0/targets/1/address" },
        { "/services/0/targets/0/name", "k2", "/services/0/targets/1/name" },
        { "/services/0/targets/0/failureDomain", "bg-1", "" },
        { "/services/0/targets/0/region", "unknown", "" },
        { "/shifts/0/service", "unknown", "" },
        { "/shifts/0/to", "caerdydd", "" },
        { "/shifts/0/stepPercent", 0, "" },
        { "/shifts/0/percent", 101, "" },
        { "/drains/0/kind", "zone", "" },
        { "/drains/0/name", "unknown", "" },
        { "/drains/2", json { { "kind", "site" }, { "name", "site-b" } }, "/drains/2/name" },
        { "/drains/2", json { { "name", "k9" } }, "/drains/2/name" },
        { "/steering/lookupTtlSeconds", 0, "" },
        { "/steering/sites/0/region", "unknown", "" },
        { "/steering/groups/0/rankedSites/0", "unknown", "" },
        { "/steering/blocks/0/group", "unknown", "" },
        { "/steering/blocks/0/cidr", "10.128.0.0/8", "" },
        { "/steering/blocks/0/cidr", "10.0.0.0/33", "" },
        { "/steering/blocks/0/cidr", "9.1.0.0/16", "" },
        { "/steering/blocks/0/cidr", "9.0.0.0/8", "/steering/blocks/1/cidr" },
    };
    ASSERT_TRUE(parseFaults(sampleTree().dump()).empty());
    for (const auto& it : cases) {
        SCOPED_TRACE(it.pointer + " = " + it.value.dump());
        const auto faults = parseFaultsWithChange(it.pointer, it.value);
        std::string text;
        for (const auto& fault : faults)
            text += fault.path + ": " + fault.limit + ", found " + fault.found + '\n';
        EXPECT_EQ(std::count_if(faults.begin(), faults.end(),
                      [&it](const Fault& fault) { return fault.path == (it.path.empty() ? it.pointer : it.path); }),
            1)
            << text;
        EXPECT_EQ(faults.size(), 1U) << text;
    }
}

// Several shifts may move traffic of one service out of the same region. Guards against a sum above 100 percent.
TEST(Validate, ShiftsOfOneServiceFromOneRegionMoveAtMostOneHundredPercent)
{
    auto document = sampleDocument();
    document.shifts.push_back(document.shifts.front());
    document.shifts.back().name = "t";
    document.shifts.back().percent = 40;
    EXPECT_TRUE(validate(document).empty());
    document.shifts.back().percent = 40.5;
    ASSERT_EQ(validate(document).size(), 1U);
    EXPECT_EQ(validate(document)[0].path, "/shifts/1/percent");
    EXPECT_EQ(validate(document)[0].found, "100.5 percent with the preceding shifts");
}

// Guards against validation that stops at the first fault, so that operators must correct a document repeatedly.
TEST(Validate, CollectsAllFaultsInOnePass)
{
    auto tree = sampleTree();
    tree["extra"] = 1;
    tree["accounts"][0]["burst"] = -1;
    tree["services"][0]["targets"][0].erase("address");
    tree["drains"][0]["kind"] = 3;
    tree["shifts"][0]["from"] = "unknown";
    auto text = tree.dump();
    text.insert(text.find("\"lookupTtlSeconds\""), R"("lookupTtlSeconds":5,)");
    std::set<std::string> paths;
    for (const auto& it : parseFaults(text))
        paths.insert(it.path);
    EXPECT_EQ(paths,
        (std::set<std::string> { "/extra", "/accounts/0/burst", "/services/0/targets/0/address", "/drains/0/kind",
            "/shifts/0/from", "/steering/lookupTtlSeconds" }));
}

// Guards against a crash or an exception on input that is not a document, including excessive nesting and size.
TEST(Validate, InvalidJsonIsReportedAsFault)
{
    const std::string deeplyNested(100'000, '[');
    const std::string oversized(64UL * 1024 * 1024 + 1, ' ');
    for (const auto& text :
        { std::string(), std::string("{"), std::string("{}x"), std::string("[]"), std::string("1e999"),
            std::string("{\"schema\":\"\xff\"}"), std::string("\0", 1), std::string("{\"a\":{\"a\":1,\"a\":2}}"),
            std::string("{\"\":1}"), std::string("NaN"), deeplyNested, oversized }) {
        const auto faults = parseFaults(text);
        ASSERT_FALSE(faults.empty());
        for (const auto& it : faults)
            // Faults are sent as JSON. dump() throws if a text is not valid UTF-8.
            (void)json { it.path, it.limit, it.found }.dump();
    }
    auto document = sampleDocument();
    document.accounts[0].burst = std::numeric_limits<double>::quiet_NaN();
    document.accounts[0].name = "\xff";
    EXPECT_EQ(validate(document).size(), 2U);
    EXPECT_NO_THROW((void)toJson(document));
}

// All values are within their limits, but one service makes a part that is too large for the store. Guards against a
// document that is accepted and cannot be stored.
TEST(Validate, OversizedPartIsReportedAsFault)
{
    auto document = sampleDocument();
    const std::string domain(64, 'f');
    document.regions[0].failureDomains.push_back(domain);
    auto& targets = document.services[0].targets;
    for (int n = 0; n < 4990; ++n) {
        const auto address = "10.9." + std::to_string(n / 250) + '.' + std::to_string(n % 250) + ":80";
        targets.push_back({ std::string(58, 't') + std::to_string(n), address, "caerdydd", domain, false });
    }
    const auto faults = validate(document);
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].path, "/services");
    EXPECT_NE(faults[0].found.find("services/kitty"), std::string::npos);
}

// Replaces up to 39 bytes with random ones at one to three places. Guards against an exception on a corrupted
// document.
RC_GTEST_PROP(Validate, CorruptedTextNeverThrows, ())
{
    auto text = sampleTree().dump();
    for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(position, *rc::gen::inRange<std::size_t>(0, 40), *rc::gen::arbitrary<std::string>());
    }
    for (const auto& it : parseFaults(text))
        (void)json { it.path, it.limit, it.found }.dump();
}

// Guards against a difference that is missed, or that is reported for another element because elements moved in a list.
TEST(Diff, MatchesElementsByName)
{
    const auto before = sampleDocument();
    auto after = before;
    std::reverse(after.regions.begin(), after.regions.end());
    after.accounts[1].keys[0].withdrawn = true;
    after.services[0].targets.erase(after.services[0].targets.begin());
    after.steering.blocks[0].group = "south";
    after.steering.blocks.push_back({ "8.0.0.0/8", "south" });
    after.accounts[1].regions.push_back("caerdydd");
    std::map<std::string, std::string> differences;
    for (const auto& it : diffDocuments(before, after))
        differences[it.path] = it.before.substr(0, 20) + " -> " + it.after;
    EXPECT_EQ(differences,
        (std::map<std::string, std::string> {
            { "/accounts/shops/keys/s1/withdrawn", "false -> true" },
            { "/accounts/shops/regions", R"(["bangor"] -> ["bangor","caerdydd"])" },
            { "/services/kitty/targets/k1", R"({"address":"10.1.0.1 -> )" },
            { "/steering/blocks/8.0.0.0~18", R"( -> {"cidr":"8.0.0.0/8","group":"south"})" },
            { "/steering/blocks/9.0.0.0~18/group", R"("north" -> "south")" },
        }));
}
