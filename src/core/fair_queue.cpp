#include <arbutuscrank/core/fair_queue.hpp>

#include <algorithm>

namespace arbutuscrank {

FairQueue::PushResult FairQueue::push(std::string_view account, RequestId id, TimePoint expires, const Limits& limits)
{
    auto own = m_lines.find(account);
    const std::size_t length = own == m_lines.end() ? 0 : own->second.size();
    if (length >= limits.perAccount)
        return {};
    PushResult result { true, std::nullopt };
    if (m_size >= limits.total) {
        const auto longest = std::max_element(m_lines.begin(), m_lines.end(),
            [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
        if (longest == m_lines.end() || longest->second.size() <= length + 1)
            return {};
        result.displaced = longest->second.back().id;
        longest->second.pop_back();
        --m_size;
    }
    if (own == m_lines.end()) {
        own = m_lines.emplace(std::string(account), Line {}).first;
        m_turns.push_back(own->first);
    }
    own->second.push_back({ id, expires });
    ++m_size;
    m_earliest = std::min(m_earliest, expires);
    return result;
}

std::optional<RequestId> FairQueue::pop()
{
    if (m_size == 0)
        return std::nullopt;
    const auto it = m_lines.find(m_turns.front());
    const auto id = it->second.front().id;
    it->second.pop_front();
    --m_size;
    if (it->second.empty()) {
        m_lines.erase(it);
        m_turns.pop_front();
    } else {
        m_turns.push_back(std::move(m_turns.front()));
        m_turns.pop_front();
    }
    return id;
}

bool FairQueue::remove(RequestId id)
{
    for (auto it = m_lines.begin(); it != m_lines.end(); ++it) {
        auto& line = it->second;
        const auto found
            = std::find_if(line.begin(), line.end(), [id](const Waiting& waiting) { return waiting.id == id; });
        if (found == line.end())
            continue;
        line.erase(found);
        --m_size;
        if (line.empty())
            dropLine(it);
        return true;
    }
    return false;
}

std::vector<RequestId> FairQueue::takeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    if (now < m_earliest)
        return expired;
    m_earliest = TimePoint::max();
    for (auto it = m_lines.begin(); it != m_lines.end();) {
        auto& line = it->second;
        std::erase_if(line, [&](const Waiting& waiting) {
            if (waiting.expires <= now) {
                expired.push_back(waiting.id);
                return true;
            }
            m_earliest = std::min(m_earliest, waiting.expires);
            return false;
        });
        const auto next = std::next(it);
        if (line.empty())
            dropLine(it);
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
    const auto it = m_lines.find(account);
    return it == m_lines.end() ? 0 : it->second.size();
}

void FairQueue::dropLine(Lines::iterator it)
{
    m_turns.erase(std::find(m_turns.begin(), m_turns.end(), it->first));
    m_lines.erase(it);
}

} // namespace arbutuscrank
