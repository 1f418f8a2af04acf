#include "node/odd_messages.hpp"
#include "review/harness.hpp"

#include <gtest/gtest.h>

#include <spawn.h>

/// \file
/// \brief Crowds of callers that do not behave, against the real entry process with little memory and few descriptors.

namespace {

using namespace review;

constexpr int memoryMb = 64;
constexpr std::size_t memoryBytes = std::size_t { memoryMb } << 20U;
constexpr std::size_t maxBodyBytes = 8U << 20U;
constexpr std::size_t maxHeaderBytes = 64U << 10U;
/// Descriptors of the process. The platform reserves 200 of them for files, so that sockets share the rest.
constexpr std::size_t maxFds = 264;
constexpr std::size_t maxSockets = maxFds - 200;
/// Bounds a test whose process does not answer. It checks no speed.
constexpr double hangSeconds = 60;
/// A send that makes no progress for this time means that the process does not read.
constexpr time_t blockedSendSeconds = 2;

// The crowds. All bodies of one together are twice the memory of the process.
constexpr int bodyCrowd = 32;
constexpr std::size_t bodyBytes = 4U << 20U;
constexpr int connectionCrowd = 120;
constexpr int fieldCrowd = 40;
constexpr int pipelineCrowd = 8;

/// \brief Makes a stand-in that is never destroyed: its threads use it until the process has ended, also while static
/// objects are destroyed.
template <typename T, typename... Arguments> T& makeLastingStandIn(Arguments&&... arguments)
{
    return *std::make_unique<T>(std::forward<Arguments>(arguments)...).release();
}

/// \brief The process under test.
class EntryProcess {
public:
    EntryProcess(const std::string& settings, const std::string& log)
    {
        const std::string option = "--settings=" + settings;
        std::string program = ARBUTUSCRANK_BUILD_DIR "/arbutuscrank-entry";
        std::vector<char*> arguments { program.data(), const_cast<char*>(option.c_str()), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const int ec = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (ec != 0)
            throw std::runtime_error("cannot start " + program);
    }
    ~EntryProcess()
    {
        if (m_hasEnded)
            return;
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    [[nodiscard]] bool isAlive()
    {
        m_hasEnded = m_hasEnded || waitpid(m_pid, nullptr, WNOHANG) == m_pid;
        return !m_hasEnded;
    }

    /// \brief Most resident memory so far, in bytes.
    [[nodiscard]] std::size_t peakMemory() const
    {
        std::ifstream file(concat("/proc/", m_pid, "/status"));
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmHWM:"))
                return std::strtoull(line.c_str() + 6, nullptr, 10) << 10U;
        }
        return 0;
    }

    /// \brief Bytes that wait in the buffers of all connections from and to \p ip.
    [[nodiscard]] std::size_t queuedBytes(const std::string& ip) const
    {
        char address[16];
        (void)std::snprintf(address, sizeof address, "%08X", addressOf(ip, 0).sin_addr.s_addr);
        std::size_t total = 0;
        std::ifstream file(concat("/proc/", m_pid, "/net/tcp"));
        for (std::string line; std::getline(file, line);) {
            unsigned long sent = 0;
            unsigned long received = 0;
            const bool isOfProcess = line.find(address) != std::string::npos;
            if (isOfProcess && std::sscanf(line.c_str(), " %*d: %*s %*s %*s %lX:%lX", &sent, &received) == 2)
                total += sent + received;
        }
        return total;
    }

    [[nodiscard]] std::size_t openSockets() const
    {
        std::size_t n = 0;
        std::error_code ec;
        for (const auto& it : std::filesystem::directory_iterator(concat("/proc/", m_pid, "/fd"), ec)) {
            const auto target = std::filesystem::read_symlink(it.path(), ec);
            n += !ec && target.string().starts_with("socket:") ? 1 : 0;
        }
        return n;
    }

private:
    pid_t m_pid = -1;
    bool m_hasEnded = false;
};

Json makeLimitedConfiguration()
{
    auto out = makeConfiguration("idempotent", 30, 2, Json::array({ { { "name", "t" }, { "apiKeys", { "key" } } } }));
    auto& routes = out["routes"];
    const auto addRoute = [&routes](const char* name, const char* prefix, const char* service, bool isPublic) {
        auto route = routes[0];
        route["name"] = name;
        route["pathPrefix"] = prefix;
        route["service"] = service;
        route["public"] = isPublic;
        routes.push_back(route);
    };
    routes[0]["public"] = true;
    addRoute("r-2", "/k/", "s-1", false);
    addRoute("r-3", "/busy/", "s-2", true);
    auto service = out["services"][0];
    service["name"] = "s-2";
    out["services"].push_back(service);
    out["limits"]["maxBodyBytes"] = maxBodyBytes;
    out["limits"]["maxHeaderBytes"] = maxHeaderBytes;
    return out;
}

enum class Place { Route, NoRoute, ReadinessPath, UnknownKey, ReadinessListener, LookupListener, MetricsListener };
enum class Sending { OnePiece, SmallPieces, Chunks };

struct HostileCallers : testing::Test {
    HostileCallers()
        : folder(makeFolder())
        , store(makeLastingStandIn<Store>(loopback(1)))
        , target(makeLastingStandIn<Target>(loopback(20), "i-1", "s-1", "dk-east-a", 64))
        , busyTarget(makeLastingStandIn<Target>(loopback(21), "i-2", "s-2", "dk-east-a", 512))
    {
        store.put("config", "main", makeLimitedConfiguration());
        target.work = [](const Message& request) {
            return Target::Work { .bytes = request.first.find("/large") != std::string::npos ? 1U << 20U : 1500U };
        };
        busyTarget.work = [](const Message&) { return Target::Work { .seconds = 25 }; };
        store.put("servers", target.id(), target.entry());
        store.put("servers", busyTarget.id(), busyTarget.entry());
        const auto settings = folder + "/vm-1.toml";
        // The harness may choose one port twice.
        do
            vm.emplace("vm-1", ip, store.address(), folder, VmOptions { .memoryMb = memoryMb });
        while (!readPorts(settings));
        entry.emplace(settings, folder + "/vm-1.log");
        waitUntil("the process is ready", hangSeconds, [this] { return vm->isReady(); });
        waitUntil("a request is answered", hangSeconds, [this] { return isOrdinaryRequestAnswered(); });
    }
    ~HostileCallers() override
    {
        for (const int fd : connections)
            close(fd);
        entry.reset();
        if (!HasFailure())
            std::filesystem::remove_all(folder);
    }
    HostileCallers(const HostileCallers&) = delete;
    HostileCallers& operator=(const HostileCallers&) = delete;

    static std::string makeFolder()
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::string path = "/tmp/hostile-callers-XXXXXX";
        if (!mkdtemp(path.data()))
            throw std::runtime_error("cannot create a folder");
        return path;
    }

    /// Reads the addresses from the settings, and lowers the number of descriptors in them.
    /// \returns false if two listeners have one port
    bool readPorts(const std::string& path)
    {
        std::ifstream in(path);
        std::string text;
        std::set<int> ports;
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with("internalPorts"))
                ports.insert(std::atoi(line.c_str() + line.find('[') + 1));
            if (line.starts_with("ready = ") || line.starts_with("front = ") || line.starts_with("directory = "))
                ports.insert(std::atoi(line.c_str() + line.rfind(':') + 1));
            if (line.starts_with("maxFds"))
                line = concat("maxFds = ", maxFds);
            if (line.starts_with("ready = "))
                readyPort = std::atoi(line.c_str() + line.rfind(':') + 1);
            text += line + '\n';
        }
        std::ofstream(path) << text;
        return ports.size() == 4;
    }

    [[nodiscard]] int portOf(Place place) const
    {
        switch (place) {
        case Place::ReadinessListener:
            return readyPort;
        case Place::LookupListener:
            return vm->directory();
        case Place::MetricsListener:
            return 9464;
        default:
            return vm->front();
        }
    }

    /// First line and fields of a request, without the empty line at their end.
    static std::string head(Place place)
    {
        switch (place) {
        case Place::Route:
            return "POST /r/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\n";
        case Place::NoRoute:
            return "POST /none HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\n";
        case Place::UnknownKey:
            return "POST /k/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\nX-Api-Key: other\r\n";
        case Place::LookupListener:
            return "GET /v1/resolve?name=shop.example HTTP/1.1\r\nHost: shop.example\r\n";
        case Place::MetricsListener:
            return "GET /metrics HTTP/1.1\r\nHost: shop.example\r\n";
        default:
            return "GET /v1/readiness HTTP/1.1\r\nHost: shop.example\r\n";
        }
    }

    /// Runs \p send once on each of \p count new connections, side by side. The connections stay open.
    void sendFromCrowd(int count, int port, const std::function<void(int)>& send)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(count));
        std::mutex mutex;
        for (int i = 0; i < count; ++i)
            threads.emplace_back([&] {
                const int fd = connectTo(ip, port, 4096);
                if (fd < 0)
                    return;
                const timeval timeout { .tv_sec = blockedSendSeconds, .tv_usec = 0 };
                setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
                send(fd);
                const std::lock_guard lock(mutex);
                connections.push_back(fd);
            });
        for (auto& it : threads)
            it.join();
    }

    static void sendBody(int fd, const std::string& head, Sending sending, std::size_t announced, std::size_t sent)
    {
        if (sending == Sending::Chunks) {
            constexpr std::size_t chunkBytes = 64U << 10U;
            bool isOpen = sendAll(fd, head + "Transfer-Encoding: chunked\r\n\r\n");
            for (; isOpen && sent > chunkBytes; sent -= chunkBytes)
                isOpen = sendAll(fd, concat("10000\r\n", std::string(chunkBytes, 'x'), "\r\n"));
            if (isOpen)
                sendAll(fd, "10000\r\n" + std::string(sent, 'x'));
            return;
        }
        const std::size_t pieceBytes = sending == Sending::OnePiece ? sent : 1U << 10U;
        bool isOpen = sendAll(fd, concat(head, "Content-Length: ", announced, "\r\n\r\n"));
        const std::string piece(pieceBytes, 'x');
        for (; isOpen && sent != 0; sent -= std::min(sent, pieceBytes))
            isOpen = sendAll(fd, std::string_view(piece).substr(0, sent));
    }

    [[nodiscard]] int statusOf(const std::string& request, double timeout) const
    {
        const int fd = connectTo(ip, vm->front());
        if (fd < 0)
            return 0;
        Message answer;
        const bool isComplete = sendAll(fd, request) && Reader(fd).read(answer, timeout) == ReadEnd::Complete;
        close(fd);
        return isComplete ? answer.status() : 0;
    }

    [[nodiscard]] bool isOrdinaryRequestAnswered() const { return statusOf(makeRequest("o", "1"), 5) == 200; }

    /// Sends a request on a new connection. \returns the answer; its status is 0 if it is not complete
    [[nodiscard]] Message exchange(int port, const std::string& request) const
    {
        Message answer;
        const int fd = connectTo(ip, port);
        const bool isComplete
            = fd >= 0 && sendAll(fd, request) && Reader(fd).read(answer, hangSeconds) == ReadEnd::Complete;
        if (fd >= 0)
            close(fd);
        return isComplete ? answer : Message {};
    }

    /// Value of a line of the metrics; 0 if there is none.
    [[nodiscard]] long metric(const std::string& nameAndLabels) const
    {
        const auto text = exchange(portOf(Place::MetricsListener), head(Place::MetricsListener) + "\r\n").body;
        const auto at = text.find('\n' + nameAndLabels + ' ');
        return at == std::string::npos ? 0 : std::atol(text.c_str() + at + nameAndLabels.size() + 2);
    }

    [[nodiscard]] bool hasLogged(const std::string& text) const
    {
        std::ifstream in(folder + "/vm-1.log");
        const std::string log { std::istreambuf_iterator<char>(in), {} };
        return log.find(text) != std::string::npos;
    }

    /// Waits until the process has read what it will read of the crowd's bytes: nothing has moved for a while.
    void waitUntilSettled() const
    {
        auto queued = entry->queuedBytes(ip);
        const double until = now() + hangSeconds;
        for (int unchanged = 0; unchanged < 10 && now() < until; ++unchanged) {
            sleepFor(0.1);
            if (const auto n = entry->queuedBytes(ip); n != queued) {
                queued = n;
                unchanged = 0;
            }
        }
    }

    /// What must hold while the crowd's connections are still open.
    void checkProcess()
    {
        waitUntilSettled();
        ASSERT_TRUE(entry->isAlive());
        RecordProperty("peakMemoryBytes", std::to_string(entry->peakMemory()));
        std::cout << "peak memory " << (entry->peakMemory() >> 10U) << " KiB, " << entry->openSockets() << " sockets\n";
        EXPECT_LT(entry->peakMemory(), memoryBytes);
        EXPECT_LE(entry->openSockets(), maxSockets);
        EXPECT_NO_THROW(waitUntil("an ordinary request", hangSeconds, [this] { return isOrdinaryRequestAnswered(); }));
        EXPECT_NO_THROW(waitUntil("readiness", hangSeconds, [this] { return vm->isReady(); }));
        EXPECT_NO_THROW(waitUntil(
            "a look-up", hangSeconds, [this] { return !vm->lookUp("name=shop.example&region=dk-east").empty(); }));
        ASSERT_TRUE(entry->isAlive());
        EXPECT_LT(entry->peakMemory(), memoryBytes);
        EXPECT_LE(entry->openSockets(), maxSockets);
    }

    std::string folder;
    std::string ip = loopback(10);
    Store& store;
    Target& target;
    Target& busyTarget;
    std::optional<Vm> vm; ///< settings and addresses; its process is \ref entry
    std::optional<EntryProcess> entry;
    int readyPort = 0;
    std::vector<int> connections;
};

struct HostileBodies : HostileCallers, testing::WithParamInterface<std::tuple<Place, Sending>> { };
struct HostileConnections : HostileCallers, testing::WithParamInterface<Place> { };

} // namespace

// Guards against bodies of legal size whose last byte never comes, and that together exceed the memory of the process.
TEST_P(HostileBodies, UnfinishedBodies)
{
    const auto [place, sending] = GetParam();
    sendFromCrowd(bodyCrowd, portOf(place),
        [place = place, sending = sending](int fd) { sendBody(fd, head(place), sending, bodyBytes, bodyBytes - 1); });
    checkProcess();
}

// Guards against bodies that are far longer than the limit.
TEST_P(HostileBodies, BodiesOverTheLimit)
{
    const auto [place, sending] = GetParam();
    sendFromCrowd(bodyCrowd / 4, portOf(place), [place = place, sending = sending](int fd) {
        sendBody(fd, head(place), sending, 4 * maxBodyBytes, 4 * maxBodyBytes - 1);
    });
    checkProcess();
}

// Guards against connections that exhaust the descriptors, and against slow senders that stop inside a head.
TEST_P(HostileConnections, UnfinishedHeads)
{
    const auto place = GetParam();
    sendFromCrowd(connectionCrowd, portOf(place), [place](int fd) { sendAll(fd, head(place)); });
    checkProcess();
}

// Guards against connections that exhaust the descriptors without a byte.
TEST_P(HostileConnections, SilentConnections)
{
    sendFromCrowd(connectionCrowd, portOf(GetParam()), [](int) {});
    checkProcess();
}

// Guards against heads of legal size that need a multiple of it once they are parsed.
TEST_P(HostileConnections, ManyShortFields)
{
    auto request = head(GetParam());
    while (request.size() + 6 < maxHeaderBytes)
        request += "a:\r\n";
    sendFromCrowd(fieldCrowd, portOf(GetParam()), [&request](int fd) { sendAll(fd, request); });
    checkProcess();
}

// Guards against requests that are sent ahead, and whose answers are not read.
TEST_P(HostileConnections, PipelinedRequests)
{
    std::string requests;
    for (int i = 0; i < 500; ++i)
        requests += head(GetParam()) + "\r\n";
    sendFromCrowd(pipelineCrowd * 4, portOf(GetParam()), [&requests](int fd) { sendAll(fd, requests); });
    checkProcess();
}

// Guards against a message with one long part that ends the process, or whose sender gets no answer.
TEST_P(HostileConnections, MessagesWithALongPart)
{
    using namespace arbutuscrank::node::test;
    const auto place = GetParam();
    const auto text = head(place);
    const auto startLine = text.substr(0, text.find('\r'));
    const auto fields = text.substr(startLine.size() + 2);
    for (const auto part : oddParts) {
        for (const auto length : oddLengths) {
            const int status = exchange(portOf(place), makeOddMessage(startLine, fields, part, length)).status();
            if (part == OddPart::StartLine || part == OddPart::ChunkExtension)
                EXPECT_NE(status, 0) << toString(part) << ' ' << length;
            else
                EXPECT_EQ(status, 431) << toString(part) << ' ' << length;
        }
    }
    const bool isCallers = portOf(place) == vm->front();
    EXPECT_GE(
        metric(concat("arbutuscrank_unreadable_messages_total{from=\"", isCallers ? "caller" : "get", "\"}")), 16);
    EXPECT_NO_THROW(waitUntil("the log line", hangSeconds, [this] { return hasLogged("reason=unreadable"); }));
    checkProcess();
}

// Guards against names from the store that end the process, or cost other requests, when they are to be written into a
// request: those of targets, and those of accounts in the configuration.
TEST_F(HostileCallers, LongNamesInTheStore)
{
    using arbutuscrank::node::test::oddLengths;
    auto configuration = makeLimitedConfiguration();
    configuration["version"] = 8;
    for (const auto length : oddLengths) {
        store.put("servers", std::string(length, 't'), target.entry());
        auto& tenants = configuration["tenants"];
        tenants.push_back({ { "name", std::string(length, 'n') }, { "apiKeys", { concat("key-", length) } } });
        if (length != oddLengths.front()) // the others are refused before their quota is asked for
            tenants.back().update({ { "ratePerS", 1 }, { "burst", 1 } });
    }
    store.put("config", "main", configuration);
    const auto statusWithKey = [this](const std::string& key) {
        return exchange(vm->front(),
            concat("GET /k/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\nX-Api-Key: ", key, "\r\n\r\n"))
            .status();
    };
    waitUntil("the configuration is in force", hangSeconds, [&] { return statusWithKey("key-70000") != 401; });
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(statusWithKey("key-65533"), 200);
        for (const auto* key : { "key-65534", "key-65535", "key-70000" })
            EXPECT_EQ(statusWithKey(key), 502) << key;
        EXPECT_EQ(statusWithKey("key"), 200);
    }
    for (const auto* text : { "reason=unsendable", "name=store-entry-refused" })
        EXPECT_NO_THROW(waitUntil(text, hangSeconds, [&] { return hasLogged(text); }));
    checkProcess();
}

// Guards against many whole bodies that wait for a busy target.
TEST_F(HostileCallers, WholeBodiesForABusyTarget)
{
    sendFromCrowd(bodyCrowd, vm->front(), [](int fd) {
        sendBody(fd, "POST /busy/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\n", Sending::OnePiece, bodyBytes,
            bodyBytes);
    });
    checkProcess();
}

// Guards against requests with bodies that are sent ahead, and wait for a busy target.
TEST_F(HostileCallers, PipelinedBodiesForABusyTarget)
{
    sendFromCrowd(pipelineCrowd, vm->front(), [](int fd) {
        for (int i = 0; i < 64; ++i)
            sendBody(fd, concat("POST /busy/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ", i, "\r\n"),
                Sending::OnePiece, bodyBytes / 16, bodyBytes / 16);
    });
    checkProcess();
}

// Guards against short fields that are kept while their requests wait for a busy target.
TEST_F(HostileCallers, ManyShortFieldsForABusyTarget)
{
    std::string request = "GET /busy/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\n";
    while (request.size() + 6 < maxHeaderBytes)
        request += "a:\r\n";
    request += "\r\n";
    sendFromCrowd(fieldCrowd, vm->front(), [&request](int fd) { sendAll(fd, request); });
    checkProcess();
}

// Guards against large answers that their callers do not read.
TEST_F(HostileCallers, UnreadAnswers)
{
    std::string requests;
    for (int i = 0; i < 20; ++i)
        requests += concat("GET /r/large HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: l", i, "\r\n\r\n");
    sendFromCrowd(bodyCrowd, vm->front(), [&requests](int fd) { sendAll(fd, requests); });
    checkProcess();
}

// Guards against a limit for crowds that refuses a single request within the limits.
TEST_F(HostileCallers, LongestBodyIsServedInCalm)
{
    const std::string body(maxBodyBytes, 'x');
    EXPECT_EQ(
        statusOf(concat(head(Place::Route), "Content-Length: ", maxBodyBytes, "\r\n\r\n", body), hangSeconds), 200);
    EXPECT_EQ(
        statusOf(concat(head(Place::Route), "Transfer-Encoding: chunked\r\n\r\n800000\r\n", body, "\r\n0\r\n\r\n"),
            hangSeconds),
        200);
    checkProcess();
}

namespace {

std::string placeName(Place place)
{
    constexpr std::array names { "Route", "NoRoute", "ReadinessPath", "UnknownKey", "ReadinessListener",
        "LookupListener", "MetricsListener" };
    return names.at(static_cast<std::size_t>(place));
}

std::string sendingName(Sending sending)
{
    constexpr std::array names { "OnePiece", "SmallPieces", "Chunks" };
    return names.at(static_cast<std::size_t>(sending));
}

const auto places = testing::Values(Place::Route, Place::NoRoute, Place::ReadinessPath, Place::UnknownKey,
    Place::ReadinessListener, Place::LookupListener, Place::MetricsListener);

} // namespace

INSTANTIATE_TEST_SUITE_P(All, HostileBodies,
    testing::Combine(places, testing::Values(Sending::OnePiece, Sending::SmallPieces, Sending::Chunks)),
    [](const auto& it) { return placeName(std::get<0>(it.param)) + sendingName(std::get<1>(it.param)); });
INSTANTIATE_TEST_SUITE_P(All, HostileConnections, places, [](const auto& it) { return placeName(it.param); });
