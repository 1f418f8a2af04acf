#include <arbutuscrank/core/fair_queue.hpp>

#include <algorithm>

namespace arbutuscrank {

FairQueue::PushResult FairQueue::push(std::string_view account, RequestId id, TimePoint expires, const Limits& limits)
{
    auto accountQueue = m_queues.find(account);
    const std::size_t length = accountQueue == m_queues.end() ? 0 : accountQueue->second.size();
    if (length >= limits.perAccount)
        return {};
    PushResult result { true, std::nullopt };
    if (m_size >= limits.total) {
        const auto longest = std::max_element(m_queues.begin(), m_queues.end(),
            [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
        if (longest == m_queues.end() || longest->second.size() <= length + 1)
            return {};
        result.displaced = longest->second.back().id;
        longest->second.pop_back();
        --m_size;
    }
    if (accountQueue == m_queues.end()) {
        accountQueue = m_queues.emplace(std::string(account), AccountQueue {}).first;
        m_turnOrder.push_back(accountQueue->first);
    }
    accountQueue->second.push_back({ id, expires });
    ++m_size;
    m_earliestExpiry = std::min(m_earliestExpiry, expires);
    return result;
}

std::optional<RequestId> FairQueue::pop()
{
    if (m_size == 0)
        return std::nullopt;
    const auto it = m_queues.find(m_turnOrder.front());
    const auto id = it->second.front().id;
    it->second.pop_front();
    --m_size;
    if (it->second.empty()) {
        m_queues.erase(it);
        m_turnOrder.pop_front();
    } else {
        m_turnOrder.push_back(std::move(m_turnOrder.front()));
        m_turnOrder.pop_front();
    }
    return id;
}

bool FairQueue::remove(RequestId id)
{
    for (auto it = m_queues.begin(); it != m_queues.end(); ++it) {
        auto& queue = it->second;
        const auto found = std::find_if(
            queue.begin(), queue.end(), [id](const WaitingRequest& waiting) { return waiting.id == id; });
        if (found == queue.end())
            continue;
        queue.erase(found);
        --m_size;
        if (queue.empty())
            removeQueue(it);
        return true;
    }
    return false;
}

std::vector<RequestId> FairQueue::takeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    if (now < m_earliestExpiry)
        return expired;
    m_earliestExpiry = TimePoint::max();
    for (auto it = m_queues.begin(); it != m_queues.end();) {
        auto& queue = it->second;
        std::erase_if(queue, [&](const WaitingRequest& waiting) {
            if (waiting.expires <= now) {
                expired.push_back(waiting.id);
                return true;
            }
            m_earliestExpiry = std::min(m_earliestExpiry, waiting.expires);
            return false;
        });
        const auto next = std::next(it);
        if (queue.empty())
            removeQueue(it);
        it = next;
    }
    m_size -= expired.size();
    return expired;
}

std::vector<RequestId> FairQueue::takeAll()
{
    std::vector<RequestId> all;
    while (const auto id = pop())
        all.push_back(*id);
    return all;
}

std::size_t FairQueue::lengthOf(std::string_view account) const
{
    const auto it = m_queues.find(account);
    return it == m_queues.end() ? 0 : it->second.size();
}

void FairQueue::removeQueue(AccountQueues::iterator it)
{
    m_turnOrder.erase(std::find(m_turnOrder.begin(), m_turnOrder.end(), it->first));
    m_queues.erase(it);
}

} // namespace arbutuscrank
