#pragma once

#include "links/internal/pooled_backend_pool.h"

#include <memory>

namespace oriole::links {

/// Implements transaction_link on a connection of a pooled_backend_pool.
class pooled_transaction_link final : public transaction_link {
public:
    pooled_transaction_link(std::shared_ptr<pooled_backend_pool> pool,
                            pooled_backend_pool::connection used);
    pooled_transaction_link(const pooled_transaction_link&) = delete;
    pooled_transaction_link& operator=(const pooled_transaction_link&) = delete;
    ~pooled_transaction_link() override;

    [[nodiscard]] boost::asio::awaitable<backend_result> call(backend_call call,
                                                              clock::time_point deadline) override;

private:
    /// State that outlives the link while a call is in progress. Used on the pool's executor.
    struct reservation {
        std::shared_ptr<pooled_backend_pool> pool;
        pooled_backend_pool::connection used; ///< null once it has been returned to the pool
    };

    static boost::asio::awaitable<backend_result>
    call_on_executor(std::shared_ptr<reservation> reserved, backend_call call,
                     clock::time_point deadline);
    static void release_connection(reservation& reserved, bool clean);

    std::shared_ptr<reservation> m_reservation;
};

} // namespace oriole::links
