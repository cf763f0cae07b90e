#pragma once

#include "app/internal/request_context.h"
#include "base/clock.h"
#include "links/backend_pool.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriole::app {

/// A transaction that a caller has opened. Removing it without a commit closes its connection,
/// which makes the server roll back.
struct open_transaction {
    std::string id;
    contracts::authorization caller{contracts::authorization_refusal::no_key};
    service_name service;
    server_name server;
    std::uint64_t term = 0;
    std::shared_ptr<links::transaction_link> link;
    clock::time_point opened;
    clock::time_point last_used;
    bool busy = false;  ///< one of its requests is being processed
    bool ended = false; ///< removed from the table; must not be used for further requests
};

/// Open transactions of one traffic thread. Used on that thread only.
class transaction_table {
public:
    /// Time-outs for transactions that the caller does not end. They would otherwise keep row locks
    /// and one of the limited backend connections.
    static constexpr std::chrono::seconds idle_timeout{10};
    static constexpr std::chrono::seconds total_timeout{30};

    [[nodiscard]] std::shared_ptr<open_transaction> find(const std::string& id) const;

    void add(std::shared_ptr<open_transaction> transaction);

    /// Ends the transaction. Its connection closes when the last request that uses it has
    /// finished.
    void remove(const std::string& id);

    /// Ends transactions that have exceeded the idle or the total time-out.
    void remove_expired(clock::time_point now);

    /// Ends all transactions for which `predicate` returns true.
    void remove_if(const std::function<bool(const open_transaction&)>& predicate);

    [[nodiscard]] std::size_t size() const noexcept { return m_transactions.size(); }

private:
    std::map<std::string, std::shared_ptr<open_transaction>> m_transactions;
};

} // namespace oriole::app
