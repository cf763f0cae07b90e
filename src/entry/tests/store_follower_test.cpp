#include <utility>

#include "entry/internal/store_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <unistd.h>

#include <deque>
#include <variant>
#include <vector>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using fleet::store_revision;
using page = store_page<evacuation>;

constexpr clock::duration watch_wait = 1500ms;

enum class failure { unavailable, no_answer, canceled, history_gone };

/// A call that the follower made; `mode` is set for a list, `since` and `wait` for a watch.
struct store_call {
    std::optional<read_mode> mode;
    store_revision since;
    clock::duration wait{};

    friend bool operator==(const store_call&, const store_call&) = default;
};

store_call listed(read_mode mode) {
    return {mode, {}, {}};
}

store_call watched(const store_revision& since, clock::duration wait) {
    return {std::nullopt, since, wait};
}

/// Answers each call with the next result of the script, and stops the executor after the last.
class scripted_collection final : public object_collection<evacuation> {
public:
    explicit scripted_collection(asio::io_context& io) : m_io(io) {}

    void answer(std::variant<page, failure> result) { m_script.push_back(std::move(result)); }

    [[nodiscard]] const std::vector<store_call>& calls() const { return m_calls; }

    asio::awaitable<page> list(read_mode mode) override { return next(listed(mode)); }

    asio::awaitable<page> changes_since(store_revision revision, clock::duration wait) override {
        return next(watched(revision, wait));
    }

private:
    asio::awaitable<page> next(store_call call) {
        m_calls.push_back(call);
        if (m_script.empty()) {
            m_io.stop();
            throw store_unavailable("the script has ended");
        }
        const auto result = std::move(m_script.front());
        m_script.pop_front();
        if (const auto* failed = std::get_if<failure>(&result)) {
            if (*failed == failure::unavailable) {
                throw store_unavailable("scripted");
            }
            if (*failed == failure::canceled) {
                throw store_call_canceled("scripted");
            }
            if (*failed == failure::no_answer) {
                throw store_timeout("scripted");
            }
            throw history_expired("scripted");
        }
        co_return std::get<page>(result);
    }

    asio::io_context& m_io;
    std::deque<std::variant<page, failure>> m_script;
    std::vector<store_call> m_calls;
};

class store_follower_test : public testing::Test {
protected:
    static page empty_page(const store_revision& revision) { return {{}, revision, 0}; }

    void run() {
        store_follower<evacuation>::handlers handlers;
        handlers.on_page = [this](const page& received, bool is_snapshot) {
            m_snapshots.push_back(is_snapshot ? received.revision : store_revision());
        };
        handlers.on_health = [this](bool reachable) {
            m_reported_lost = m_reported_lost || (!reachable && !m_io.stopped());
        };
        handlers.wanted = [] { return true; };
        handlers.watch_wait = [] { return watch_wait; };
        handlers.on_silence = [this] { ++m_reported_silences; };
        store_follower<evacuation> follower(m_io.get_executor(), m_store, "evacuations", *m_log,
                                            std::move(handlers));
        asio::co_spawn(m_io, follower.run(), asio::detached);
        m_io.run();
    }

    asio::io_context m_io;
    scripted_collection m_store{m_io};
    std::unique_ptr<decision_log> m_log = make_decision_log(STDERR_FILENO);
    std::vector<store_revision> m_snapshots;
    bool m_reported_lost = false;
    int m_reported_silences = 0;
};

// Guards against a watch that waits for a revision of the earlier era: after a loss of contact, the
// first call has to tell the era at once.
TEST_F(store_follower_test, first_watch_after_a_failure_does_not_wait) {
    m_store.answer(empty_page({1, 30}));
    m_store.answer(empty_page({1, 30}));
    m_store.answer(failure::unavailable);
    m_store.answer(empty_page({1, 30}));
    run();
    const std::vector<store_call> expected{
        listed(read_mode::allow_stale), watched({1, 30}, 0s),         watched({1, 30}, watch_wait),
        watched({1, 30}, 0s),           watched({1, 30}, watch_wait),
    };
    EXPECT_EQ(m_store.calls(), expected);
}

// Guards against changes that are missed, because the restored store has given out the watched
// revision again and so answers the watch.
TEST_F(store_follower_test, changes_of_another_era_lead_to_a_new_list) {
    m_store.answer(empty_page({1, 30}));
    m_store.answer(empty_page({2, 31}));
    m_store.answer(empty_page({2, 32}));
    run();
    ASSERT_EQ(m_store.calls().size(), 4U);
    EXPECT_EQ(m_store.calls()[2], listed(read_mode::newest));
    EXPECT_EQ(m_store.calls()[3], watched({2, 32}, 0s));
    EXPECT_EQ(m_snapshots, (std::vector<store_revision>{{1, 30}, {2, 32}}));
}

// Guards against a list of the earlier era, read from a replica of the store that lags, that is
// followed with the revisions of that era.
TEST_F(store_follower_test, stale_list_of_the_earlier_era_is_read_again) {
    m_store.answer(empty_page({1, 30}));
    m_store.answer(failure::history_gone);
    m_store.answer(empty_page({2, 20}));
    run();
    ASSERT_EQ(m_store.calls().size(), 4U);
    EXPECT_EQ(m_store.calls()[2], listed(read_mode::newest));
    EXPECT_EQ(m_store.calls()[3], watched({2, 20}, 0s));
}

// Guards against a watch on a silent connection that delays the changes, or counts as an outage of
// the store, although the store answers on other connections.
TEST_F(store_follower_test, unanswered_watch_is_followed_at_once_by_one_that_does_not_wait) {
    m_store.answer(empty_page({1, 30}));
    m_store.answer(empty_page({1, 30}));
    m_store.answer(failure::no_answer);
    m_store.answer(empty_page({1, 31}));
    run();
    const std::vector<store_call> expected{
        listed(read_mode::allow_stale), watched({1, 30}, 0s),         watched({1, 30}, watch_wait),
        watched({1, 30}, 0s),           watched({1, 31}, watch_wait),
    };
    EXPECT_EQ(m_store.calls(), expected);
    EXPECT_FALSE(m_reported_lost);
    EXPECT_EQ(m_reported_silences, 1);
}

// Guards against a watch that goes on waiting on a silent connection although another one was found
// silent, and against watches that cancel each other again and again.
TEST_F(store_follower_test, canceled_watch_is_followed_at_once_and_cancels_no_other) {
    m_store.answer(empty_page({1, 30}));
    m_store.answer(empty_page({1, 30}));
    m_store.answer(failure::canceled);
    run();
    ASSERT_EQ(m_store.calls().size(), 4U);
    EXPECT_EQ(m_store.calls()[3], watched({1, 30}, 0s));
    EXPECT_EQ(m_reported_silences, 0);
}

} // namespace
} // namespace oriole::entry
