#include <utility>

#include "app/internal/audit_recorder.h"

#include "app/internal/sleep_for.h"
#include "links/audit_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds observation_interval{100};
/// The delay between attempts doubles each time, so that all attempts together take a little over
/// four minutes.
constexpr int max_write_attempts = 8;
constexpr std::chrono::milliseconds first_retry_delay{2000};
constexpr clock::duration finish_timeout = std::chrono::seconds(1);

} // namespace

audit_recorder::audit_recorder(asio::any_io_executor executor, links::platform_link& platform,
                               random_source& random, const instance_id& self,
                               const control_plane& control)
    : m_executor(std::move(executor)),
      m_platform(platform),
      m_random(random),
      m_control(control),
      m_trail(self) {}

asio::awaitable<void> audit_recorder::run() {
    while (true) {
        record_new_entries();
        co_await sleep_for(observation_interval);
    }
}

void audit_recorder::record_new_entries() {
    const auto& site = m_control.traffic().site();
    const auto& databases = m_control.databases();
    const audit_observation observation{databases.digests(), databases.timelines(),
                                        site ? site->generation : 0,
                                        std::chrono::system_clock::now()};
    for (const auto& entry : m_trail.observe(observation)) {
        const std::string operation = make_unique_id(m_random);
        ++m_pending_writes;
        auto work = write("audit/" + links::format_utc_time(entry.when()) + "-" + operation,
                          links::encode_audit_entry(entry), operation);
        asio::co_spawn(m_executor, std::move(work), asio::detached);
    }
}

asio::awaitable<void> audit_recorder::write(std::string path, std::string text,
                                            std::string operation) {
    auto delay = first_retry_delay;
    for (int tries = 1; tries <= max_write_attempts; ++tries) {
        if (co_await attempt(path, text, operation)) {
            --m_pending_writes;
            co_return;
        }
        co_await sleep_for(delay);
        delay *= 2;
    }
    LOG(ERROR) << "audit entry dropped, all attempts to write it failed path=" << path
               << " entry=" << text;
    --m_pending_writes;
}

asio::awaitable<bool> audit_recorder::attempt(std::string path, std::string text,
                                              std::string operation) {
    try {
        co_await m_platform.put(path, std::move(text), 0, std::move(operation));
        co_return true;
    } catch (const links::version_conflict&) {
        co_return true; // the path is unique, so an earlier attempt has stored the entry
    } catch (const error& problem) {
        LOG(WARNING) << "cannot write the audit entry path=" << path << " reason=\""
                     << problem.what() << '"';
    }
    co_return false;
}

asio::awaitable<void> audit_recorder::finish() {
    const auto end = steady_clock().now() + finish_timeout;
    while (m_pending_writes > 0 && steady_clock().now() < end) {
        co_await sleep_for(observation_interval);
    }
}

} // namespace oriole::app
