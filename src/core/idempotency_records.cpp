#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::idempotency {

// --- The table of a record holder ------------------------------------------------------------------------------------

namespace {

    using Account = IdempotencyState::Account;
    using Record = IdempotencyState::Record;
    using Entry = std::unordered_map<std::string, Record>::value_type;

    bool isForgettable(RecordState state) noexcept
    {
        return state == RecordState::NotRun || state == RecordState::Complete;
    }

    void removeFromSets(Account& account, const Entry& entry)
    {
        const auto& [key, record] = entry;
        account.byExpiry.erase({ record.expiresAt, key });
        account.forgettable.erase({ record.state == RecordState::Complete, record.expiresAt, key });
    }

    void change(Account& account, Entry& entry, RecordState state, TimePoint now)
    {
        removeFromSets(account, entry);
        auto& [key, record] = entry;
        record.state = state;
        record.expiresAt = now + (state == RecordState::NotRun ? removedLifetime : recordLifetime);
        account.byExpiry.emplace(record.expiresAt, key);
        if (isForgettable(state))
            account.forgettable.emplace(state == RecordState::Complete, record.expiresAt, key);
    }

    void erase(Account& account, std::string_view key)
    {
        const auto it = account.records.find(std::string(key));
        removeFromSets(account, *it);
        account.records.erase(it);
    }

    void expire(Account& account, TimePoint now)
    {
        while (!account.byExpiry.empty() && account.byExpiry.begin()->first <= now)
            erase(account, account.byExpiry.begin()->second);
    }

    /// Makes room for one record. Returns false if every record is of a request that may be running or have run
    /// without a known outcome.
    bool makeRoom(Account& account)
    {
        if (account.records.size() < maxRecordsPerAccount)
            return true;
        if (account.forgettable.empty())
            return false;
        erase(account, std::get<2>(*account.forgettable.begin()));
        return true;
    }

    bool isOwnedBy(const Record& record, const ProcessId& owner, std::uint64_t reservationId)
    {
        return record.reservationId == reservationId && record.owner == owner;
    }

    /// Account of a key whose expired records are gone.
    Account& accountOf(State& state, const std::string& name, TimePoint now)
    {
        auto& account = state.idempotency.accounts[name];
        expire(account, now);
        return account;
    }

} // namespace

RecordState record(State& state, const ProcessId& owner, const ReserveRequest& request, TimePoint now)
{
    auto& account = accountOf(state, request.account, now);
    auto it = account.records.find(request.key);
    if (it != account.records.end()) {
        auto& found = it->second;
        if (isOwnedBy(found, owner, request.reservationId))
            return found.state == RecordState::Started ? RecordState::New : found.state;
        if (found.state != RecordState::NotRun)
            return found.state;
        erase(account, request.key);
    }
    if (!makeRoom(account))
        return RecordState::NotRun;
    it = account.records.emplace(request.key, Record { owner, request.reservationId, RecordState::Started, {} }).first;
    change(account, *it, RecordState::Started, now);
    return RecordState::New;
}

void noteOutcome(State& state, const ProcessId& owner, const RecordOutcome& outcome, TimePoint now)
{
    if (outcome.state == RecordState::New || outcome.state == RecordState::Started)
        return;
    auto& account = accountOf(state, outcome.account, now);
    auto it = account.records.find(outcome.key);
    if (it == account.records.end()) {
        // The request for this record was lost, or this holder restarted since.
        if (outcome.state == RecordState::NotRun || !makeRoom(account))
            return;
        it = account.records.emplace(outcome.key, Record { owner, outcome.reservationId, outcome.state, {} }).first;
    }
    if (isOwnedBy(it->second, owner, outcome.reservationId))
        change(account, *it, outcome.state, now);
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
