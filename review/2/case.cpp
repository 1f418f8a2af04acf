#include "../harness.hpp"

#include <set>

/// \file
/// \brief A configuration takes away the keys of the only client account.

namespace {

using namespace review;

constexpr double revokeSeconds = 5;
constexpr int clientCount = 10;
constexpr double requestsPerSecond = 20;
const std::string key = "xd9dnn2ctnfzs989anu6";

Json makeTenant(const std::string& name, const std::vector<std::string>& keys)
{
    return { { "name", name }, { "apiKeys", keys }, { "priority", 1 }, { "ratePerS", 113 }, { "burst", 113 },
        { "allowedRegions", Json::array() } };
}

struct Sent {
    bool hasKey = false;
    double at = 0;
};

bool run(const std::string& folder)
{
    // Without the disruption, another client account stays when this one leaves.
    auto tenants = Json::array({ makeTenant("huka270", { key, "wsjnbanfqasnmgkcuyj8" }) });
    if (!hasTrouble())
        tenants.push_back(makeTenant("kore118", { "p4bq7wq0vyu2m1tn6szd" }));
    auto& store = makeStandIn<Store>(loopback(1));
    auto configuration = makeConfiguration("non_idempotent", 1.5, 2, tenants);
    store.put("config", "main", configuration);
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::map<std::string, std::string> runs; // the tenant with which a request ran
    for (int i = 0; i < 6; ++i) {
        auto& target = makeStandIn<Target>(loopback(20 + i), concat("i-", i), "s-1", "dk-east-a", 6);
        target.work = [](const Message&) { return Target::Work { .seconds = 0.1, .headers = {} }; };
        target.onRun = [&, id = target.id()](const std::string& attempt, const std::string& tenant) {
            record("run target=", id, " attempt=", attempt, " tenant=", tenant);
            const std::lock_guard lock(mutex);
            runs[attempt] = tenant;
        };
        store.put("servers", target.id(), target.entry());
    }
    Vm first("edge-dk-east-a-1", loopback(10), store.address(), folder, {});
    Vm second("edge-dk-east-a-2", loopback(11), store.address(), folder, {});
    first.start();
    second.start();
    waitUntil("the VMs are ready", 10, [&] { return first.isReady() && second.isReady(); });
    sleepFor(3);

    std::atomic<bool> isOver = false;
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c) {
        threads.emplace_back([&, c] {
            const auto& vm = c % 2 == 0 ? first : second;
            // One client never had a key.
            const bool hasKey = c != clientCount - 1;
            int fd = -1;
            double next = now() + c / requestsPerSecond;
            for (int i = 0; !isOver; ++i) {
                sleepUntil(next);
                next += clientCount / requestsPerSecond;
                if (fd < 0)
                    fd = connectTo(vm.ip(), vm.front());
                const auto attempt = concat("c", c, "-", i);
                {
                    const std::lock_guard lock(mutex);
                    sent[attempt] = { hasKey, now() };
                }
                record("sent attempt=", attempt, " vm=", vm.id(), " key=", hasKey ? key : "none");
                Reader reader(fd);
                Message answer;
                const bool isAnswered
                    = sendAll(fd, makeRequest(attempt, attempt, hasKey ? concat("X-Api-Key: ", key, "\r\n") : ""))
                    && reader.read(answer, 4) == ReadEnd::Complete;
                record("answered attempt=", attempt, " status=", answer.status());
                if (!isAnswered || answer.header("Connection") == "close") {
                    close(fd);
                    fd = -1;
                }
            }
            close(fd);
        });
    }
    sleepFor(5);
    configuration["version"] = 12;
    configuration["tenants"].erase(0);
    const double acknowledgedAt = store.put("config", "main", configuration);
    record("version 12, without tenant huka270, is acknowledged");
    sleepFor(revokeSeconds + 5);
    isOver = true;
    for (auto& it : threads)
        it.join();

    const std::lock_guard lock(mutex);
    int withdrawn = 0;
    int withoutKey = 0;
    int withoutKeyBefore = 0;
    for (const auto& [attempt, tenant] : runs) {
        const auto& request = sent[attempt];
        if (!request.hasKey)
            ++(request.at > acknowledgedAt ? withoutKey : withoutKeyBefore);
        else if (request.at > acknowledgedAt + revokeSeconds)
            ++withdrawn;
    }
    record("requests that ran, sent with the withdrawn key later than ", revokeSeconds, " s: ", withdrawn,
        "; without a key: ", withoutKeyBefore, " before the change, ", withoutKey, " after it");
    // CONFIG (strictRevoke): a request runs that was sent later than revokeS after its key was taken away.
    return withdrawn > 0;
}

} // namespace

int main(int argc, char** argv) { std::_Exit(review::runCase(argc, argv, run)); }
