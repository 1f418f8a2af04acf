#include "node/answer_memory.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace arbutuscrank::node {

AnswerMemory::Share& AnswerMemory::Share::operator=(Share&& other) noexcept
{
    if (this != &other) {
        reset();
        m_ledger = std::move(other.m_ledger);
        m_holding = other.m_holding;
    }
    return *this;
}

void AnswerMemory::Share::reset() noexcept
{
    if (!m_ledger)
        return;
    m_ledger->bytes -= m_holding->bytes;
    m_ledger->holdings.erase(m_holding);
    m_ledger.reset();
}

void AnswerMemory::Share::resize(std::uint64_t bytes)
{
    if (!m_ledger)
        return;
    const auto ledger = m_ledger; // the share may end while an answer is released
    const auto before = std::exchange(m_holding->bytes, bytes);
    ledger->bytes = ledger->bytes - before + bytes;
    if (bytes > before && ledger->bytes > ledger->limit)
        ledger->releaseLongest();
}

void AnswerMemory::Share::assign(std::string peer, std::function<void()> release)
{
    if (!m_ledger)
        return;
    m_holding->peer = std::move(peer);
    m_holding->release = std::move(release);
}

void AnswerMemory::Share::markEnding()
{
    if (!m_ledger)
        return;
    m_holding->release = {};
    m_holding->isEnding = true;
}

AnswerMemory::Share AnswerMemory::hold(std::string peer, std::function<void()> release)
{
    auto& holdings = m_ledger->holdings;
    return { m_ledger, holdings.insert(holdings.end(), { .peer = std::move(peer), .release = std::move(release) }) };
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
