#include "node/loopback.hpp"

#include <arbutuscrank/store/http_platform.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::test {

namespace {

    /// Reads the VM list from a platform that answers with a body.
    Result<std::vector<VmListEntry>> readList(const std::string& body)
    {
        const node::test::ScriptedServer server([&](node::Tcp::socket& socket, int) {
            node::test::readRequest(socket);
            node::test::writeText(socket,
                fmt::format("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
        });
        return makeHttpPlatform({ .address = server.address() })->listVms();
    }

} // namespace

// Guards against one odd entry in the platform's list of VMs that hides all others.
TEST(VmListFailure, OneUnreadableEntryHidesNoOther)
{
    const std::string good = R"({"vm":"vm &+#%","region":"r","failureDomain":"d","callerAddress":"127.0.0.1:1"})";
    for (const std::string odd : { "7", "null", "[]", "{}", R"({"vm":5})", R"({"vm":""})", R"({"region":"r"})" }) {
        const auto vms = readList(fmt::format("[{},{}]", odd, good));
        ASSERT_TRUE(vms) << odd << ' ' << describe(vms.error());
        const auto isGood = [](const VmListEntry& it) { return it.vm == "vm &+#%" && it.region == "r"; };
        EXPECT_EQ(std::ranges::count_if(vms.value(), isGood), 1) << odd;
        const auto isOther = [&](const VmListEntry& it) { return !isGood(it) && !it.vm.empty(); };
        EXPECT_EQ(std::ranges::count_if(vms.value(), isOther), 0) << odd;
    }
}

} // namespace arbutuscrank::test
