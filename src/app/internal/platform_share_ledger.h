#pragma once

#include "app/internal/share_ledger_store.h"
#include "base/random_source.h"
#include "links/platform_link.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>

namespace oriole::app {

/// Stores the share ledger of one zone as the platform object `shares/ZONE`. Used on the control
/// thread.
class platform_share_ledger final : public share_ledger_store {
public:
    /// Precondition: the references outlive this object and the executor's work.
    platform_share_ledger(boost::asio::any_io_executor executor, links::platform_link& platform,
                          random_source& random, const zone_name& zone);

    void read(read_handler handler) override;

    void write(const contracts::share_ledger_write& write, write_handler handler) override;

    /// Number of reads and writes in progress.
    [[nodiscard]] std::size_t unanswered() const noexcept { return m_unanswered; }

private:
    [[nodiscard]] boost::asio::awaitable<void> run_read(read_handler handler);
    [[nodiscard]] boost::asio::awaitable<void>
    run_write(std::string text, std::uint64_t expected_version, write_handler handler);

    boost::asio::any_io_executor m_executor;
    links::platform_link& m_platform;
    random_source& m_random;
    std::string m_path;
    std::size_t m_unanswered = 0;
};

} // namespace oriole::app
