#include "node/answer_memory.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace arbutuscrank::node {

void AnswerMemory::Share::resize(std::uint64_t bytes)
{
    const auto ledger = this->ledger(); // the share may end while an answer is released
    if (!ledger)
        return;
    const auto before = std::exchange(item()->bytes, bytes);
    ledger->bytes = ledger->bytes - before + bytes;
    if (bytes > before && ledger->bytes > ledger->limit)
        ledger->releaseLongest();
}

void AnswerMemory::Share::assign(std::string peer, std::function<void()> release)
{
    if (!ledger())
        return;
    item()->peer = std::move(peer);
    item()->release = std::move(release);
}

void AnswerMemory::Share::markEnding()
{
    if (!ledger())
        return;
    item()->release = {};
    item()->isEnding = true;
}

AnswerMemory::Share AnswerMemory::hold(std::string peer, std::function<void()> release)
{
    auto& holdings = m_ledger->holdings;
    return { m_ledger, holdings.insert(holdings.end(), { .peer = std::move(peer), .release = std::move(release) }) };
}

void AnswerMemory::Ledger::release(const Holdings::iterator& holding) noexcept
{
    bytes -= holding->bytes;
    holdings.erase(holding);
}

void AnswerMemory::Ledger::releaseLongest()
{
    std::map<std::string_view, std::uint64_t> bytesOfPeers;
    for (const auto& it : holdings) {
        if (it.release || it.isEnding)
            bytesOfPeers[it.peer] += it.bytes;
    }
    const auto largestPeer = std::ranges::max_element(bytesOfPeers, {}, [](const auto& item) { return item.second; });
    if (largestPeer == bytesOfPeers.end())
        return;
    const Holding* longest = nullptr;
    for (const auto& it : holdings) {
        if (it.release && it.peer == largestPeer->first && (!longest || it.bytes > longest->bytes))
            longest = &it;
    }
    if (!longest)
        return; // all answers of this peer end already
    ++releasedAnswers;
    const auto release = longest->release; // the holding may end within the call
    release();
}

} // namespace arbutuscrank::node
