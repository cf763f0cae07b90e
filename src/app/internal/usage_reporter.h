#pragma once

#include "base/random_source.h"
#include "contracts/usage_meter.h"
#include "links/platform_link.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace oriole::app {

/// Stores the usage served by this instance as the platform object `usage/ZONE/INSTANCE`. Used on
/// the control thread.
class usage_reporter {
public:
    /// Precondition: the references outlive this object and the executor's work.
    usage_reporter(links::platform_link& platform, random_source& random,
                   const machines::instance& self);

    void merge(const contracts::usage_table& counted) { m_meter->merge(counted); }

    /// Stores usage records at the meter's interval until the executor stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Stores the final usage record, for a graceful shutdown. Gives up after a few attempts.
    [[nodiscard]] boost::asio::awaitable<void> write_final_record();

private:
    [[nodiscard]] boost::asio::awaitable<bool> store(const contracts::usage_record& record);
    [[nodiscard]] boost::asio::awaitable<bool>
    resolve_conflict(const contracts::usage_record& record);

    links::platform_link& m_platform;
    random_source& m_random;
    std::string m_path;
    std::unique_ptr<contracts::usage_meter> m_meter;
    std::uint64_t m_version = 0; ///< version of the stored object
    bool m_is_writing = false;
};

} // namespace oriole::app
