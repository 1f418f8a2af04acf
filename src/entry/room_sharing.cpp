#include <arbutuscrank/entry/room_sharing.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;

    /// Fraction of the slots that is shared at an overload of 10% or more. Work that runs cannot be taken back, so
    /// some slots are kept free for requests of the highest priority that are about to arrive.
    constexpr double sharedUtilisation = 0.9;
    /// Work of a priority, in slots, below which it does not count as asking.
    constexpr double minWork = 0.05;
    /// Floor of the fraction of each priority and route, and the maximum of it as a fraction of what is admitted of
    /// all work. No kind of request may be served less than a quarter as often as all.
    constexpr double maxFloor = 0.35;
    constexpr double floorOfAdmitted = 0.6;
    /// Load per slot up to which requests of the highest priority are queued at a target, the decrease for each lower
    /// priority, and the minimum.
    constexpr double highestPriorityMaxLoad = 2.0;
    constexpr double maxLoadStepPerPriority = 0.4;
    constexpr double minMaxLoad = 1.1;
    /// Time constant of the average of the requests by route.
    constexpr double classSmoothingSeconds = 3;
    /// Averages of requests per second below this are forgotten.
    constexpr double minRequestRate = 0.001;
    /// Sharing ends when it has not been needed for this time, so that the log shows one period of overload as one.
    constexpr double sharingEndSeconds = 1;
    /// Weight of the samples from which the quickest answers of a route are known.
    constexpr double minQuickWeight = 50;
    constexpr double quickQuantile = 0.02;
    constexpr double slowQuantile = 0.9;
    /// Minimum of Retry-After, minimum of the time over which the returning callers are spread, and the time over which
    /// those are spread whose priority is admitted by half. Within the latter the other VMs learn of the returning
    /// load.
    constexpr Duration minRetryAfter = milliseconds(150);
    constexpr Duration minRetrySpread = milliseconds(450);
    constexpr Duration retrySpreadAtHalf = milliseconds(800);

    /// Load per slot of a target, with the request, up to which the request displaces nothing: it runs at once, and a
    /// more urgent one that arrives while it runs still finds a slot at a target of 10 slots or at one of its homes.
    constexpr double maxFreeLoad = sharedUtilisation;

    bool displacesOthers(const RoomAsk& ask) { return ask.loadPerSlot > maxFreeLoad; }

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double sumOf(const WorkByRank& work)
    {
        double sum = 0;
        for (const auto& [rank, slots] : work)
            sum += slots;
        return sum;
    }

    /// Slots that are given to admitted work. They fall from all to \ref sharedUtilisation with growing overload, so
    /// that nothing jumps where the overload begins.
    double sharedSlots(double slots, double work) { return std::max(sharedUtilisation * slots, 2 * slots - work); }

    double floorFor(double slots, double work)
    {
        return work <= slots ? 1 : std::min(maxFloor, floorOfAdmitted * sharedSlots(slots, work) / work);
    }

    /// Spreads returning callers over a time that grows with the excess, and ends after a third of what is left to the
    /// caller.
    Duration retryAfter(double fraction, Duration timeLeft, Random& random)
    {
        const double excess = 1 / std::max(0.1, fraction) - 1;
        const auto spread = std::max<Duration>(minRetrySpread,
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(retrySpreadAtHalf) * excess)));
        const auto longest = std::max(minRetryAfter, std::min<Duration>(minRetryAfter + spread, timeLeft / 3));
        return minRetryAfter
            + std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(random.unit() * seconds(longest - minRetryAfter)));
    }

} // namespace

AdmittedFractions shareRoom(double slots, const WorkByRank& work)
{
    AdmittedFractions out;
    const auto asking = std::ranges::count_if(work, [](const auto& item) { return item.second >= minWork; });
    const double total = sumOf(work);
    const bool isShared = asking > 1 && slots > 0 && total > slots;
    const double floor = isShared ? floorFor(slots, total) : 1;
    double left = sharedSlots(slots, total) - floor * total;
    for (const auto& [rank, asked] : work) {
        out[rank] = floor;
        if (!isShared || asked <= 0)
            continue;
        const double extra = std::min((1 - floor) * asked, left);
        out[rank] += extra / asked;
        left -= extra;
    }
    return out;
}

double defaultMaxLoad(std::uint32_t priority) noexcept
{
    return std::max(minMaxLoad, highestPriorityMaxLoad - maxLoadStepPerPriority * priority);
}

void RoomSharing::recordAttempt(std::string_view route, Duration taken, double loadPerSlot, TimePoint now)
{
    auto it = m_work.find(route);
    if (it == m_work.end())
        it = m_work.emplace(std::string(route), RouteWork()).first;
    it->second.record(seconds(taken) / std::max(1.0, loadPerSlot), now);
}

const RouteWork* RoomSharing::findWork(std::string_view route) const
{
    const auto it = m_work.find(route);
    return it == m_work.end() ? nullptr : &it->second;
}

double RoomSharing::meanWork(std::string_view route) const
{
    const auto* work = findWork(route);
    return work ? work->mean() : 0;
}

double RoomSharing::meanServiceWork(std::string_view service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return 0;
    double work = 0;
    double requests = 0;
    for (const auto& [rank, classes] : it->second.classes) {
        for (const auto& [key, item] : classes) {
            work += item.requestsPerSecond * meanWork(key.second);
            requests += item.requestsPerSecond;
        }
    }
    return requests > 0 ? work / requests : 0;
}

void RoomSharing::updateClasses(Classes& classes, double fraction, double floor) const
{
    struct Ranked {
        bool isLate;
        double work;
        double asked; ///< slots
        Class* item;
    };
    std::vector<Ranked> ranked;
    double left = 0;
    for (auto& [key, item] : classes) {
        const double work = meanWork(key.second);
        const double asked = item.requestsPerSecond * work;
        item.fraction = fraction;
        if (asked <= 0)
            continue;
        ranked.push_back({ key.first, work, asked, &item });
        left += (fraction - floor) * asked;
    }
    if (fraction >= 1 || fraction <= floor)
        return;
    std::ranges::sort(
        ranked, [](const auto& a, const auto& b) { return a.isLate != b.isLate ? b.isLate : a.work < b.work; });
    for (const auto& it : ranked) {
        const double extra = std::min((1 - floor) * it.asked, left);
        it.item->fraction = floor + extra / it.asked;
        left -= extra;
    }
}

std::optional<SharingChange> RoomSharing::update(
    std::string_view service, double slots, const WorkByRank& work, double elapsedSeconds)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), Service()).first;
    auto& state = found->second;
    const double weight = 1 - std::exp(-elapsedSeconds / classSmoothingSeconds);
    state.fractions = shareRoom(slots, work);
    state.floor = floorFor(slots, sumOf(work));
    for (auto& [rank, classes] : state.classes) {
        for (auto& [key, item] : classes) {
            if (elapsedSeconds > 0)
                item.requestsPerSecond += weight * (item.requestsSinceUpdate / elapsedSeconds - item.requestsPerSecond);
            item.requestsSinceUpdate = 0;
        }
        std::erase_if(classes, [](const auto& entry) { return entry.second.requestsPerSecond < minRequestRate; });
        const auto it = state.fractions.find(rank);
        updateClasses(classes, it == state.fractions.end() ? 1 : it->second, state.floor);
    }
    const bool isNeeded = std::ranges::any_of(state.fractions, [](const auto& item) { return item.second < 1; });
    state.secondsWithRoom = isNeeded ? 0 : state.secondsWithRoom + elapsedSeconds;
    const bool isShared = isNeeded || (state.isShared && state.secondsWithRoom < sharingEndSeconds);
    if (isShared == state.isShared)
        return std::nullopt;
    state.isShared = isShared;
    return SharingChange { isShared, std::exchange(state.rejected, 0) };
}

bool RoomSharing::isLate(const RoomAsk& ask) const
{
    const auto* work = findWork(ask.route);
    return work && work->quantile(0.5) > seconds(ask.objectiveLeft);
}

double RoomSharing::maxLoad(const RoomAsk& ask) const
{
    const double most = defaultMaxLoad(ask.rank.priority);
    const auto it = m_services.find(ask.service);
    const double typicalWait = meanServiceWork(ask.service);
    if (it == m_services.end() || !it->second.isShared || typicalWait <= 0)
        return most;
    // Lower priorities may not wait longer, so the limit stays above theirs.
    const double least = defaultMaxLoad(ask.rank.priority + 1);
    const auto* work = findWork(ask.route);
    const bool isMostUrgent
        = std::ranges::none_of(it->second.fractions, [&](const auto& item) { return item.first < ask.rank; });
    const double waitSeconds = isMostUrgent ? seconds(ask.timeLeft) - (work ? work->quantile(slowQuantile) : 0)
                                            : seconds(ask.objectiveLeft) - (work ? work->quantile(0.5) : 0);
    return std::clamp(1 + waitSeconds / typicalWait, least, most);
}

bool RoomSharing::permitsFurtherAttempt(const RoomAsk& ask) const
{
    const auto it = m_services.find(ask.service);
    if (it == m_services.end())
        return true;
    const auto fraction = it->second.fractions.find(ask.rank);
    return fraction == it->second.fractions.end() || fraction->second >= 1 || !isLate(ask) || !displacesOthers(ask);
}

RoomDecision RoomSharing::decide(const RoomAsk& ask, Random& random)
{
    auto found = m_services.find(ask.service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(ask.service), Service()).first;
    auto& service = found->second;
    auto& classes = service.classes[ask.rank];
    const auto fraction = service.fractions.find(ask.rank);
    const auto [it, isNew] = classes.try_emplace(ClassKey { isLate(ask), std::string(ask.route) });
    auto& item = it->second;
    if (isNew && fraction != service.fractions.end())
        item.fraction = fraction->second;
    ++item.requestsSinceUpdate;
    if (service.isShared) {
        const auto* work = findWork(ask.route);
        if (work && work->weight() >= minQuickWeight && work->quantile(quickQuantile) > seconds(ask.timeLeft)) {
            ++service.rejected;
            return RejectForRoom { "deadline", minRetryAfter };
        }
        if (item.fraction < 1 && displacesOthers(ask)) {
            // Random initial credits keep the VMs from all admitting their first request.
            if (!item.credit)
                item.credit = random.unit();
            *item.credit += item.fraction;
            if (*item.credit < 1) {
                ++service.rejected;
                return RejectForRoom { "share", retryAfter(item.fraction, ask.timeLeft, random) };
            }
            *item.credit -= 1;
        }
    }
    return Admit { maxLoad(ask) };
}

AdmittedFractions RoomSharing::fractions(std::string_view service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() || !it->second.isShared ? AdmittedFractions {} : it->second.fractions;
}

std::size_t RoomSharing::sharedServiceCount() const noexcept
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_services, [](const auto& item) { return item.second.isShared; }));
}

double RoomSharing::leastFraction() const noexcept
{
    double least = 1;
    for (const auto& [name, service] : m_services) {
        for (const auto& [rank, fraction] : service.fractions)
            least = std::min(least, fraction);
    }
    return least;
}

} // namespace arbutuscrank::entry
