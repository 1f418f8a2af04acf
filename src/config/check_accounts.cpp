#include "config/checks.hpp"

namespace arbutuscrank::config {

void checkAccounts(const Document& document, const NameIndex& names, FaultList& faults)
{
    const Path root;
    const auto accountsPath = root.field("accounts");
    UniquenessChecker checkUniqueAccount(faults, "a unique name");
    // Authentication looks a key up by its id alone, before the account is known.
    UniquenessChecker checkUniqueKey(faults, "a key id that is unique in the document");
    for (std::size_t n = 0; n < document.accounts.size(); ++n) {
        const auto& account = document.accounts[n];
        const auto path = accountsPath.element(n);
        checkUniqueAccount(path.field("name"), account.name);
        const auto keysPath = path.field("keys");
        for (std::size_t i = 0; i < account.keys.size(); ++i) {
            const auto keyPath = keysPath.element(i);
            checkUniqueKey(keyPath.field("id"), account.keys[i].id);
        }
        const auto servicesPath = path.field("services");
        UniquenessChecker::checkList(account.services, servicesPath, faults);
        for (std::size_t i = 0; i < account.services.size(); ++i)
            checkReference(names.services, account.services[i], "service", servicesPath.element(i), faults);
        const auto regionsPath = path.field("regions");
        UniquenessChecker::checkList(account.regions, regionsPath, faults);
        for (std::size_t i = 0; i < account.regions.size(); ++i)
            checkReference(names.regions, account.regions[i], "region", regionsPath.element(i), faults);
    }
}

} // namespace arbutuscrank::config
