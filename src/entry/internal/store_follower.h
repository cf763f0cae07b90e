#pragma once

#include <utility>

#include "base/decision_log.h"
#include "entry/fleet_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace oriole::entry {

/// Keeps up with the objects of one kind: lists them, then waits for changes, and lists again when
/// the store no longer has the history. Not thread-safe; runs on the control thread.
template <class Value>
class store_follower {
public:
    using page_handler = std::function<void(const store_page<Value>&, bool whole)>;
    using health_handler = std::function<void(bool reachable)>;
    using condition = std::function<bool()>;

    /// Precondition: all that is passed outlives run().
    store_follower(boost::asio::any_io_executor executor, store_kind<Value>& kind, std::string name,
                   decision_log& log, page_handler on_page, health_handler on_health,
                   condition wanted)
        : m_executor(std::move(executor)),
          m_kind(kind),
          m_name(std::move(name)),
          m_log(log),
          m_on_page(std::move(on_page)),
          m_on_health(std::move(on_health)),
          m_wanted(std::move(wanted)) {}

    [[nodiscard]] boost::asio::awaitable<void> run() {
        bool tried = false;
        while (true) {
            if (tried && !m_wanted()) {
                m_revision = 0; // What is missed meanwhile is listed when following begins again.
                co_await pause();
                continue;
            }
            tried = true;
            try {
                co_await follow();
            } catch (const history_gone& gone) {
                m_log.write(log_entry("store_history_gone").add("kind", m_name));
                set_reachable(true, gone.what());
                m_revision = 0;
                m_history_gone = true;
                continue;
            } catch (const store_unavailable& failure) {
                set_reachable(false, failure.what());
            }
            co_await pause();
        }
    }

private:
    /// The store turns callers away for seconds; each call is priced, also a refused one.
    static constexpr std::chrono::milliseconds retry_pause{400};
    /// As long as the store lets a call wait.
    static constexpr std::chrono::seconds longest_wait{30};

    [[nodiscard]] boost::asio::awaitable<void> follow() {
        if (m_revision == 0) {
            // What a cheap list lacks comes as changes after its revision.
            auto page = co_await m_kind.list(m_history_gone ? read_mode::newest : read_mode::cheap);
            m_history_gone = false;
            set_reachable(true, "listed");
            m_revision = page.revision;
            m_on_page(page, true);
        }
        while (m_wanted()) {
            auto page = co_await m_kind.changes_since(m_revision, longest_wait);
            set_reachable(true, "changed");
            m_revision = page.revision;
            if (!page.objects.empty()) {
                m_on_page(page, false);
            }
        }
    }

    void set_reachable(bool reachable, const std::string& reason) {
        if (m_reachable != reachable) {
            m_log.write(log_entry("store")
                            .add("kind", m_name)
                            .add("outcome", reachable ? "regained" : "lost")
                            .add("reason", reason));
            m_reachable = reachable;
        }
        m_on_health(reachable);
    }

    [[nodiscard]] boost::asio::awaitable<void> pause() {
        boost::asio::steady_timer timer(m_executor, retry_pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    boost::asio::any_io_executor m_executor;
    store_kind<Value>& m_kind;
    std::string m_name;
    decision_log& m_log;
    page_handler m_on_page;
    health_handler m_on_health;
    condition m_wanted;           ///< whether this instance watches the store
    std::uint64_t m_revision = 0; ///< 0 before the first list
    bool m_reachable = true;
    bool m_history_gone = false; ///< a cheap list may be too old to go on from
};

} // namespace oriole::entry
