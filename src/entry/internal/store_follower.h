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
#include <optional>
#include <string>
#include <string_view>

namespace oriole::entry {

/// Follows the store's objects of one kind: lists them, then waits for changes, and lists them
/// again when the store no longer keeps the history or was restored from an older copy. Not
/// thread-safe; runs on the control thread.
template <class Value>
class store_follower {
public:
    /// What the follower reports and asks for. Precondition: they outlive run().
    struct handlers {
        /// Called with each page of objects; `is_snapshot` is true for a complete list and false
        /// for changes.
        std::function<void(const store_page<Value>&, bool is_snapshot)> on_page;
        std::function<void(bool reachable)> on_health;
        std::function<bool()> wanted; ///< the follower pauses while it returns false
        /// How long the next call may wait for changes.
        std::function<clock::duration()> watch_wait;
        /// Called when a watch was not answered, so that others like it do not wait any longer.
        std::function<void()> on_silence;
    };

    /// Precondition: `kind` and `log` outlive run().
    store_follower(boost::asio::any_io_executor executor, object_collection<Value>& kind,
                   std::string name, decision_log& log, handlers handlers_of_follower)
        : m_executor(std::move(executor)),
          m_kind(kind),
          m_name(std::move(name)),
          m_log(log),
          m_handlers(std::move(handlers_of_follower)) {}

    [[nodiscard]] boost::asio::awaitable<void> run() {
        bool tried = false;
        while (true) {
            if (tried && !m_handlers.wanted()) {
                // List again when watching resumes, to catch up on the changes in between.
                m_revision.reset();
                co_await pause();
                continue;
            }
            tried = true;
            try {
                co_await follow();
            } catch (const history_expired& gone) {
                m_log.write(
                    log_entry("store_history_gone").add("kind", m_name).add("reason", gone.what()));
                set_reachable(true, gone.what());
                m_revision.reset();
                m_history_expired = true;
                continue;
            } catch (const store_unavailable& failure) {
                set_reachable(false, failure.what());
                m_era_is_certain = false;
            }
            co_await pause();
        }
    }

private:
    /// The store may reject its clients for seconds, and even a rejected call is charged.
    static constexpr std::chrono::milliseconds retry_pause{400};

    [[nodiscard]] boost::asio::awaitable<void> follow() {
        if (!m_revision) {
            // A list that may be out of date suffices: what it lacks follows as changes after its
            // revision.
            auto page = co_await m_kind.list(m_history_expired ? read_mode::newest
                                                               : read_mode::allow_stale);
            m_history_expired = false;
            m_era_is_certain = false;
            set_reachable(true, "listed");
            m_revision = page.revision;
            log_page(page, "list");
            m_handlers.on_page(page, true);
            // After a start, the list of instances, which tells whether this one has to watch,
            // arrives about now. A watch that is not needed would wait for its whole time.
            co_await pause();
        }
        while (m_handlers.wanted()) {
            const auto page = co_await next_changes();
            set_reachable(true, "changed");
            m_revision = page.revision;
            if (!page.objects.empty() || page.unreadable > 0) {
                log_page(page, "changes");
                m_handlers.on_page(page, false);
            }
        }
    }

    /// The changes after m_revision. Throws history_expired when they are of another era.
    [[nodiscard]] boost::asio::awaitable<store_page<Value>> next_changes() {
        std::optional<store_page<Value>> page;
        if (m_era_is_certain) {
            page = co_await wait_for_changes();
        }
        if (!page) {
            // Since the last answer, the store may have been restored and have reached the number
            // of m_revision again. A watch would then wait without telling the era.
            page = co_await m_kind.changes_since(*m_revision, clock::duration::zero());
        }
        if (page->revision.era != m_revision->era) {
            throw history_expired("the store is in another era than revision " +
                                  to_string(*m_revision));
        }
        m_era_is_certain = true;
        co_return std::move(*page);
    }

    /// nullopt when the watch was not answered or was canceled.
    [[nodiscard]] boost::asio::awaitable<std::optional<store_page<Value>>> wait_for_changes() {
        std::string failure;
        bool canceled = false;
        try {
            co_return co_await m_kind.changes_since(*m_revision, m_handlers.watch_wait());
        } catch (const store_call_canceled&) {
            canceled = true;
        } catch (const store_timeout& unanswered) {
            failure = unanswered.what();
        }
        if (canceled) {
            co_return std::nullopt;
        }
        m_handlers.on_silence();
        m_log.write(log_entry("store_watch")
                        .add("kind", m_name)
                        .add("revision", to_string(*m_revision))
                        .add("outcome", "no_answer")
                        .add("reason", failure));
        co_return std::nullopt;
    }

    void log_page(const store_page<Value>& page, std::string_view source) {
        m_log.write(log_entry("store_page")
                        .add("kind", m_name)
                        .add("source", source)
                        .add("revision", to_string(page.revision))
                        .add("objects", page.objects.size())
                        .add("unreadable", page.unreadable));
    }

    void set_reachable(bool reachable, const std::string& reason) {
        if (m_reachable != reachable) {
            m_log.write(log_entry("store")
                            .add("kind", m_name)
                            .add("outcome", reachable ? "regained" : "lost")
                            .add("reason", reason));
            m_reachable = reachable;
        }
        m_handlers.on_health(reachable);
    }

    [[nodiscard]] boost::asio::awaitable<void> pause() {
        boost::asio::steady_timer timer(m_executor, retry_pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    boost::asio::any_io_executor m_executor;
    object_collection<Value>& m_kind;
    std::string m_name;
    decision_log& m_log;
    handlers m_handlers;
    /// Revision of the last page; nullopt when the objects have to be listed.
    std::optional<fleet::store_revision> m_revision;
    /// Whether the store is known to be still in the era of m_revision.
    bool m_era_is_certain = false;
    bool m_reachable = true;
    /// Set after history_expired: the next list has to be read with read_mode::newest, because the
    /// store may no longer keep the changes after the revision of a stale list.
    bool m_history_expired = false;
};

} // namespace oriole::entry
