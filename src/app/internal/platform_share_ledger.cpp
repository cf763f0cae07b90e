#include <utility>

#include "app/internal/platform_share_ledger.h"

#include "links/share_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

namespace oriole::app {

namespace asio = boost::asio;
using contracts::ledger_write_result;

platform_share_ledger::platform_share_ledger(asio::any_io_executor executor,
                                             links::platform_link& platform, random_source& random,
                                             const zone_name& zone)
    : m_executor(std::move(executor)),
      m_platform(platform),
      m_random(random),
      m_path("shares/" + zone.str()) {}

void platform_share_ledger::read(read_handler handler) {
    ++m_unanswered;
    asio::co_spawn(m_executor, run_read(std::move(handler)), asio::detached);
}

void platform_share_ledger::write(const contracts::share_ledger_write& write,
                                  write_handler handler) {
    ++m_unanswered;
    auto work = run_write(links::encode_share_ledger(write.ledger), write.expected_version,
                          std::move(handler));
    asio::co_spawn(m_executor, std::move(work), asio::detached);
}

asio::awaitable<void> platform_share_ledger::run_read(read_handler handler) {
    std::optional<versioned_ledger> result;
    try {
        const auto stored = co_await m_platform.get(m_path);
        result = versioned_ledger{};
        if (stored) {
            result = versioned_ledger{links::decode_share_ledger(stored->value), stored->version};
        }
    } catch (const links::platform_unreachable&) {
        // Not logged here, since the fleet supervisor logs platform outages.
        result.reset();
    } catch (const error& problem) {
        result.reset();
        LOG(ERROR) << "cannot read the share ledger path=" << m_path << " reason=\""
                   << problem.what() << '"';
    }
    --m_unanswered;
    handler(std::move(result));
}

asio::awaitable<void> platform_share_ledger::run_write(std::string text,
                                                       std::uint64_t expected_version,
                                                       write_handler handler) {
    auto result = ledger_write_result::unknown;
    std::uint64_t version = 0;
    const std::string operation = make_unique_id(m_random);
    try {
        version = co_await m_platform.put(m_path, std::move(text), expected_version, operation);
        result = ledger_write_result::stored;
    } catch (const links::version_conflict&) {
        result = ledger_write_result::conflict;
    } catch (const links::platform_unreachable&) {
        result = ledger_write_result::unknown;
    } catch (const error& problem) {
        LOG(ERROR) << "cannot write the share ledger path=" << m_path << " reason=\""
                   << problem.what() << '"';
    }
    --m_unanswered;
    handler(result, version);
}

} // namespace oriole::app
