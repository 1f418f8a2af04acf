#include "config/sample_document.hpp"

#include "cli/command_line.hpp"

#include <arbutuscrank/config/advice.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace {

using arbutuscrank::ExitCode;
using nlohmann::json;

std::vector<std::string> findingsOf(const json& tree)
{
    const auto parsed = arbutuscrank::parseDocument(tree.dump());
    const auto* document = std::get_if<arbutuscrank::Document>(&parsed);
    if (const auto* faults = std::get_if<std::vector<arbutuscrank::Fault>>(&parsed))
        ADD_FAILURE() << faults->front().path << ": " << faults->front().limit << ", " << faults->front().found;
    std::vector<std::string> out;
    for (const auto& it : document ? arbutuscrank::advise(*document) : std::vector<arbutuscrank::Fault>()) {
        EXPECT_FALSE(it.limit.empty() || it.found.empty()) << it.path;
        out.push_back(it.path);
    }
    return out;
}

struct CheckCommand : testing::Test {
    CheckCommand() { std::filesystem::create_directories(directory); }
    ~CheckCommand() override { std::filesystem::remove_all(directory); }

    [[nodiscard]] std::string write(const std::string& name, const std::string& text) const
    {
        const auto path = directory / name;
        std::ofstream(path) << text;
        return path.string();
    }

    ExitCode run(const std::vector<std::string>& arguments)
    {
        std::ostringstream outStream;
        std::ostringstream errStream;
        const auto code = arbutuscrank::runCommand(arguments, outStream, errStream);
        out = outStream.str();
        err = errStream.str();
        return code;
    }

    std::filesystem::path directory
        = std::filesystem::path(testing::TempDir()) / ("arbutuscrank-check-" + std::to_string(::getpid()));
    std::string out;
    std::string err;
};

} // namespace

// Guards against warnings for a document without mistakes, which operators would learn to ignore.
TEST(Advice, SoundDocumentHasNoFindings) { EXPECT_TRUE(findingsOf(sampleTree()).empty()); }

// Guards against entries without effect, and against contradicting limits, that nobody notices before they are sent.
TEST(Advice, EachMistakeIsFoundAtItsPath)
{
    struct Case {
        json patch;
        std::string path;
    };
    const auto replace = [](const std::string& path, const json& value) {
        return json { { "op", "replace" }, { "path", path }, { "value", value } };
    };
    const auto add = [](const std::string& path, const json& value) {
        return json { { "op", "add" }, { "path", path }, { "value", value } };
    };
    const json other { { "name", "long" }, { "pathPrefix", "/kitty/public/" }, { "slotsPerTarget", 1 },
        { "connectionsPerTarget", 1 }, { "openPathPrefixes", { "/kitty/public/" } }, { "spill", json::array() },
        { "targets",
            { { { "name", "o1" }, { "address", "10.1.0.9:80" }, { "region", "bangor" },
                { "failureDomain", "bg-1" } } } } };
    const std::vector<Case> cases {
        { add("/drains/-", { { "kind", "region" }, { "name", "caerdydd" } }), "/services/kitty/targets" },
        { add("/services/0/openPathPrefixes/-", "/kitty/public/a/"), "/services/kitty/openPathPrefixes" },
        { add("/services/-", other), "/services/kitty/openPathPrefixes" },
        { add("/services/0/queuePerAccount", 200), "/services/kitty/queuePerAccount" },
        { replace("/accounts/0/services", json::array()), "/accounts/shops/services" },
        { replace("/accounts/0/keys", json::array()), "/accounts/shops/keys" },
        { add("/accounts/0/keys/0/withdrawn", true), "/accounts/shops/keys" },
        { replace("/links", json::array()), "/shifts/s/to" },
        { replace("/shifts/0/capPerSecond", 101), "/shifts/s/capPerSecond" },
        { add("/steering/groups/-", { { "name", "idle" }, { "rankedSites", { "site-a" } } }), "/steering/groups/idle" },
    };
    for (const auto& it : cases) {
        const auto findings = findingsOf(sampleTree().patch(json::array({ it.patch })));
        EXPECT_NE(std::ranges::find(findings, it.path), findings.end()) << it.patch.dump();
    }
    auto tree = sampleTree();
    tree["services"][0]["targets"].erase(1); // bangor has none left
    EXPECT_EQ(findingsOf(tree),
        (std::vector<std::string> { "/services/kitty/spill/bangor", "/accounts/shops/services", "/shifts/s/to" }));
    tree["services"][0]["targets"] = json::array();
    EXPECT_EQ(findingsOf(tree).front(), "/services/kitty/targets");
}

// Guards against a script that sends a document despite errors, or that stops at a warning without being asked to.
TEST_F(CheckCommand, ExitStatusTellsErrorsFromWarnings)
{
    const auto sound = write("sound.json", sampleTree().dump());
    auto tree = sampleTree();
    tree["services"][0]["queuePerAccount"] = 200;
    const auto doubtful = write("doubtful.json", tree.dump());
    tree["accounts"][0]["ratePerSecond"] = -1;
    const auto wrong = write("wrong.json", tree.dump());
    EXPECT_EQ(run({ "check", sound, "--strict" }), ExitCode::Success) << out << err;
    EXPECT_EQ(run({ "check", doubtful }), ExitCode::Success) << out << err;
    EXPECT_EQ(run({ "check", doubtful, "--strict" }), ExitCode::CheckWarnings);
    EXPECT_NE(out.find("warning: /services/kitty/queuePerAccount: expected at most queueTotal (128), found 200"),
        std::string::npos)
        << out;
    EXPECT_EQ(run({ "check", wrong }), ExitCode::CheckErrors);
    EXPECT_NE(out.find("error: /accounts/0/ratePerSecond: expected "), std::string::npos) << out;
    EXPECT_EQ(run({ "check", sound, "--in-force", wrong }), ExitCode::CheckErrors);
    EXPECT_NE(out.find("error: in force: /accounts/0/ratePerSecond"), std::string::npos) << out;
    EXPECT_EQ(run({ "check", sound + ".missing" }), ExitCode::UsageError);
    EXPECT_NE(err.find("cannot read file"), std::string::npos);
    EXPECT_EQ(run({ "check", "-", "--in-force", "-" }), ExitCode::UsageError);
}

// Guards against differences that are missing because the document in force is printed with its version.
TEST_F(CheckCommand, ListsTheDifferencesToTheDocumentInForce)
{
    const auto before = sampleTree();
    auto after = before;
    after["accounts"][0]["ratePerSecond"] = 60;
    const auto file = write("after.json", after.dump());
    const json shown { { "version", 7 }, { "changeId", "c" }, { "document", before } };
    for (const auto& text : { before.dump(), shown.dump() }) {
        const auto inForce = write("before.json", text);
        EXPECT_EQ(run({ "check", file, "--in-force", inForce, "--json" }), ExitCode::Success) << out << err;
        const auto report = json::parse(out);
        EXPECT_TRUE(report["errors"].empty() && report["warnings"].empty()) << out;
        ASSERT_EQ(report["differences"].size(), 1U) << out;
        EXPECT_EQ(report["differences"][0]["path"], "/accounts/shops/ratePerSecond");
    }
    EXPECT_EQ(run({ "check", file, "--in-force", write("before.json", before.dump()) }), ExitCode::Success);
    EXPECT_NE(out.find("change: /accounts/shops/ratePerSecond: "), std::string::npos) << out;
}
