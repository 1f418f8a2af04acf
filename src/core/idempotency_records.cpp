#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::idempotency {

// --- The table of a record holder ------------------------------------------------------------------------------------

namespace {

    using Account = IdempotencyState::Account;
    using Record = IdempotencyState::Record;
    using Entry = std::unordered_map<std::string, Record>::value_type;

    bool isEvictable(RecordState state) noexcept
    {
        return state == RecordState::NotRun || state == RecordState::Complete;
    }

    void removeFromIndexes(Account& account, const Entry& entry)
    {
        const auto& [key, record] = entry;
        account.byExpiry.erase({ record.expiresAt, key });
        account.evictable.erase({ record.state == RecordState::Complete, record.expiresAt, key });
    }

    /// Sets the state of a record, restarts its lifetime and updates the indexes.
    void setRecordState(Account& account, Entry& entry, RecordState state, TimePoint now)
    {
        removeFromIndexes(account, entry);
        auto& [key, record] = entry;
        record.state = state;
        record.expiresAt = now + (state == RecordState::NotRun ? removedRecordLifetime : recordLifetime);
        account.byExpiry.emplace(record.expiresAt, key);
        if (isEvictable(state))
            account.evictable.emplace(state == RecordState::Complete, record.expiresAt, key);
    }

    void erase(Account& account, std::string_view key)
    {
        const auto it = account.records.find(std::string(key));
        removeFromIndexes(account, *it);
        account.records.erase(it);
    }

    void expire(Account& account, TimePoint now)
    {
        while (!account.byExpiry.empty() && account.byExpiry.begin()->first <= now)
            erase(account, account.byExpiry.begin()->second);
    }

    /// Evicts a record if the table is full.
    /// \returns whether a record can be added; false if every record belongs to a request that may be running, or that
    /// may have run and whose outcome is unknown
    bool evictIfFull(Account& account)
    {
        if (account.records.size() < maxRecordsPerAccount)
            return true;
        if (account.evictable.empty())
            return false;
        erase(account, std::get<2>(*account.evictable.begin()));
        return true;
    }

    bool isOwnedBy(const Record& record, const ProcessId& owner, std::uint64_t reservationId)
    {
        return record.reservationId == reservationId && record.owner == owner;
    }

    /// Returns the records of an account after removing the expired ones.
    Account& accountWithoutExpired(State& state, const std::string& name, TimePoint now)
    {
        auto& account = state.idempotency.accounts[name];
        expire(account, now);
        return account;
    }

} // namespace

RecordState createRecord(State& state, const ProcessId& owner, const ReserveRequest& request, TimePoint now)
{
    auto& account = accountWithoutExpired(state, request.account, now);
    auto it = account.records.find(request.key);
    if (it != account.records.end()) {
        auto& existing = it->second;
        if (isOwnedBy(existing, owner, request.reservationId))
            return existing.state == RecordState::Started ? RecordState::New : existing.state;
        if (existing.state != RecordState::NotRun)
            return existing.state;
        erase(account, request.key);
    }
    if (!evictIfFull(account))
        return RecordState::NotRun;
    it = account.records.emplace(request.key, Record { owner, request.reservationId, RecordState::Started, {} }).first;
    setRecordState(account, *it, RecordState::Started, now);
    return RecordState::New;
}

void applyOutcome(State& state, const ProcessId& owner, const RecordOutcome& outcome, TimePoint now)
{
    if (outcome.state == RecordState::New || outcome.state == RecordState::Started)
        return;
    auto& account = accountWithoutExpired(state, outcome.account, now);
    auto it = account.records.find(outcome.key);
    if (it == account.records.end()) {
        // The reserve request was lost or has not arrived yet, or the record was removed or lost in a restart.
        if (outcome.state == RecordState::NotRun || !evictIfFull(account))
            return;
        it = account.records.emplace(outcome.key, Record { owner, outcome.reservationId, outcome.state, {} }).first;
    }
    if (isOwnedBy(it->second, owner, outcome.reservationId))
        setRecordState(account, *it, outcome.state, now);
}

void expireRecords(State& state, TimePoint now)
{
    auto& accounts = state.idempotency.accounts;
    for (auto it = accounts.begin(); it != accounts.end();) {
        expire(it->second, now);
        it = it->second.records.empty() ? accounts.erase(it) : std::next(it);
    }
}

} // namespace arbutuscrank::idempotency
