#include "app/internal/transaction_table.h"

namespace oriole::app {

std::shared_ptr<open_transaction> transaction_table::find(const std::string& id) const {
    const auto found = m_transactions.find(id);
    return found == m_transactions.end() ? nullptr : found->second;
}

void transaction_table::add(std::shared_ptr<open_transaction> transaction) {
    const std::string id = transaction->id;
    m_transactions[id] = std::move(transaction);
}

void transaction_table::remove(const std::string& id) {
    const auto found = m_transactions.find(id);
    if (found == m_transactions.end()) {
        return;
    }
    found->second->ended = true;
    m_transactions.erase(found);
}

void transaction_table::remove_expired(clock::time_point now) {
    remove_if([now](const open_transaction& transaction) {
        const bool idle = !transaction.busy && now - transaction.last_used > idle_timeout;
        return idle || now - transaction.opened > total_timeout;
    });
}

void transaction_table::remove_if(const std::function<bool(const open_transaction&)>& predicate) {
    std::erase_if(m_transactions, [&predicate](const auto& item) {
        if (!predicate(*item.second)) {
            return false;
        }
        item.second->ended = true;
        return true;
    });
}

} // namespace oriole::app
