#include <utility>

#include "app/internal/usage_reporter.h"

#include "app/internal/sleep_for.h"
#include "base/clock.h"
#include "contracts/contracts_module.h"
#include "links/usage_codec.h"

#include <glog/logging.h>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds poll_interval{500};
constexpr int max_final_attempts = 3;

} // namespace

usage_reporter::usage_reporter(links::platform_link& platform, random_source& random,
                               const machines::instance& self)
    : m_platform(platform),
      m_random(random),
      m_path("usage/" + self.zone().str() + "/" + self.id().str()),
      m_meter(contracts::contracts_module::make_usage_meter(self.id())) {}

asio::awaitable<void> usage_reporter::run() {
    while (true) {
        co_await sleep_for(poll_interval);
        if (m_is_writing) {
            continue;
        }
        const auto record = m_meter->due_record(steady_clock().now());
        if (record) {
            co_await store(*record);
        }
    }
}

asio::awaitable<void> usage_reporter::write_final_record() {
    while (m_is_writing) {
        co_await sleep_for(poll_interval);
    }
    const auto record = m_meter->final_record();
    for (int attempt = 0; attempt < max_final_attempts; ++attempt) {
        if (record.totals().empty() || co_await store(record)) {
            co_return;
        }
        co_await sleep_for(poll_interval);
    }
    LOG(ERROR) << "cannot store the final usage record path=" << m_path
               << " record=" << links::encode_usage_record(record);
}

asio::awaitable<bool> usage_reporter::store(const contracts::usage_record& record) {
    m_is_writing = true;
    bool stored = false;
    bool conflict = false;
    const std::string operation = make_unique_id(m_random);
    std::string text = links::encode_usage_record(record);
    try {
        m_version = co_await m_platform.put(m_path, std::move(text), m_version, operation);
        stored = true;
    } catch (const links::version_conflict&) {
        conflict = true;
    } catch (const error& problem) {
        LOG(WARNING) << "cannot store the usage record path=" << m_path << " reason=\""
                     << problem.what() << '"';
    }
    if (conflict) {
        stored = co_await resolve_conflict(record);
    }
    if (stored) {
        m_meter->stored(record.sequence());
    }
    m_is_writing = false;
    co_return stored;
}

/// Handles a version conflict, which occurs when an earlier write took effect but its answer was
/// lost. Uses the stored object's version for the next write. Returns true if the stored record is
/// at least as new as `record`.
asio::awaitable<bool> usage_reporter::resolve_conflict(const contracts::usage_record& record) {
    try {
        const auto found = co_await m_platform.get(m_path);
        m_version = found ? found->version : 0;
        co_return found && !contracts::is_newer(record, links::decode_usage_record(found->value));
    } catch (const error& problem) {
        LOG(WARNING) << "cannot read the stored usage record path=" << m_path << " reason=\""
                     << problem.what() << '"';
    }
    co_return false;
}

} // namespace oriole::app
