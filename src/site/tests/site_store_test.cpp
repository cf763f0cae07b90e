#include "site/site_codec.h"
#include "site/site_store.h"
#include "site/tests/example_files.h"
#include "site/tests/fake_object_store.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace oriole::site {
namespace {

using fault = fake_object_store::fault;

class site_store_test : public testing::Test {
protected:
    site_store_test()
        : m_first(make_yaml_site_reader()->read(example_files("stillwasser")).site.objects()) {
        (void)m_store->publish({"op-first", 0, {}, m_first, "ada", "", ""},
                               majority_loss_policy::refuse);
    }

    /// A change that sets the burst of one rate in `base`.
    static proposed_change burst_change(const std::string& operation, const std::string& rate,
                                        double burst, generation number, const site_objects& base) {
        auto ours =
            site_objects::builder(base).add(contracts::rate(rate_name(rate), 1, burst)).build();
        return {operation, number, base, std::move(ours), "ada", "", ""};
    }

    [[nodiscard]] double burst(const std::string& rate) {
        return m_store->load(m_store->head().value()).rates().at(rate_name(rate)).burst();
    }

    fake_object_store m_objects;
    std::unique_ptr<site_store> m_store = make_site_store(m_objects);
    std::unique_ptr<site_store> m_other = make_site_store(m_objects);
    site_objects m_first;
};

// Guards against losing a published change or publishing it twice when requests and replies are
// lost and other operators publish concurrently. Checks that each reported operation has exactly
// one generation and that its effect is present.
RC_GTEST_FIXTURE_PROP(site_store_test, concurrent_writers_lose_no_published_change, ()) {
    std::set<std::string> accepted;
    int others = 0;
    m_objects.before_put = [&](const std::string& path) {
        // Keeps the number of concurrent publications below the number of attempts of a publisher,
        // which gives up when every attempt is preceded by another publication.
        if (path != "config/head" || others == 10 || *rc::gen::inRange(0, 3) != 0) {
            return;
        }
        auto hook = std::move(m_objects.before_put);
        auto faults = std::exchange(m_objects.faults, {});
        const auto head = m_other->head().value();
        const std::string id = "other-" + std::to_string(++others);
        (void)m_other->publish(
            burst_change(id, "medium", 100 + others, head.number(), m_other->load(head)),
            majority_loss_policy::refuse);
        accepted.insert(id);
        m_objects.faults = std::move(faults);
        m_objects.before_put = std::move(hook);
    };
    for (int i = 1; i <= 4; ++i) {
        const std::string id = "ours-" + std::to_string(i);
        const auto head = m_store->head().value();
        const auto change = burst_change(id, "small", 100 + i, head.number(), m_store->load(head));
        for (int attempt = 0; attempt < 50 && !accepted.contains(id); ++attempt) {
            for (int put = 0; put < 4; ++put) {
                m_objects.faults.push_back(*rc::gen::elementOf(
                    std::vector{fault::none, fault::answer_lost, fault::request_lost}));
            }
            try {
                const auto result = m_store->publish(change, majority_loss_policy::refuse);
                RC_ASSERT(result.after.operation_id() == id);
                RC_ASSERT(result.after.number() > result.before.number());
                accepted.insert(id);
            } catch (const store_unreachable&) {
                continue; // the operator retries with the same operation id
            }
            m_objects.faults.clear();
        }
        RC_ASSERT(accepted.contains(id));
        RC_ASSERT(burst("small") == 100 + i);
    }
    m_objects.before_put = nullptr;
    std::multiset<std::string> published;
    for (generation number = 1; number <= m_store->head()->number(); ++number) {
        const auto head = m_store->head_at(number);
        RC_ASSERT(head.has_value());
        RC_ASSERT(head->number() == number);
        published.insert(head->operation_id());
    }
    accepted.insert("op-first");
    RC_ASSERT(published == std::multiset<std::string>(accepted.begin(), accepted.end()));
}

// Guards against publishing a change a second time after its first reply was lost and another
// operator has published in between.
TEST_F(site_store_test, change_with_lost_reply_is_found_in_history) {
    const auto change = burst_change("ours", "small", 101, 1, m_first);
    const auto accepted = m_other->publish(change, majority_loss_policy::refuse);
    (void)m_other->publish(burst_change("theirs", "small", 102, 2, m_other->load(accepted.after)),
                           majority_loss_policy::refuse);
    EXPECT_EQ(m_store->publish(change, majority_loss_policy::refuse), accepted);
    EXPECT_EQ(m_store->head()->number(), 3U);
    EXPECT_EQ(burst("small"), 102);
}

// Guards against an operator who is told that others published, while the store did not reply.
TEST_F(site_store_test, updates_without_a_reply_are_not_reported_as_other_writers) {
    m_objects.before_put = [this](const std::string& path) {
        m_objects.faults.assign(1, path == "config/head" ? fault::request_lost : fault::none);
    };
    EXPECT_THROW((void)m_store->publish(burst_change("ours", "small", 101, 1, m_first),
                                        majority_loss_policy::refuse),
                 store_unreachable);
    EXPECT_EQ(m_store->head()->number(), 1U);
}

// Guards against a published change that is reported as not published, because the reply to the
// last attempt was lost.
TEST_F(site_store_test, change_whose_last_attempt_lost_its_reply_is_found) {
    m_objects.before_put = [this, updates = 0](const std::string& path) mutable {
        const bool update = path == "config/head";
        const auto lost = update && ++updates < 4 ? fault::request_lost : fault::answer_lost;
        m_objects.faults.assign(1, update ? lost : fault::none);
    };
    const auto result = m_store->publish(burst_change("ours", "small", 101, 1, m_first),
                                         majority_loss_policy::refuse);
    EXPECT_EQ(result.after.number(), 2U);
    EXPECT_EQ(burst("small"), 101);
}

// Guards against publishing a change a second time, because the search for its operation ends where
// generation numbers were skipped.
TEST_F(site_store_test, change_is_found_in_history_before_skipped_generations) {
    const auto change = burst_change("ours", "small", 101, 1, m_first);
    const auto accepted = m_other->publish(change, majority_loss_policy::refuse);
    auto later = burst_change("theirs", "small", 102, 2, m_other->load(accepted.after));
    later.newest_in_use = 6;
    const auto skipped = m_other->publish(later, majority_loss_policy::refuse);
    EXPECT_EQ(skipped.after.number(), 7U);
    EXPECT_EQ(skipped.after.previous(), 2U);
    EXPECT_EQ(m_store->publish(change, majority_loss_policy::refuse), accepted);
}

// Guards against an edit of an outdated configuration that overwrites another operator's edit of
// the same object.
TEST_F(site_store_test, outdated_edit_of_same_object_is_rejected_by_name) {
    (void)m_other->publish(burst_change("theirs", "small", 101, 1, m_first),
                           majority_loss_policy::refuse);
    try {
        (void)m_store->publish(burst_change("ours", "small", 102, 1, m_first),
                               majority_loss_policy::refuse);
        FAIL() << "publish() did not report the conflict";
    } catch (const merge_conflict& conflict) {
        EXPECT_NE(std::string(conflict.what()).find("rate/small"), std::string::npos);
    }
    EXPECT_EQ(m_store->head()->number(), 2U);
}

// Guards against publishing a merge of two edits that are valid separately but inconsistent
// together.
TEST_F(site_store_test, merged_configuration_with_errors_is_not_published) {
    auto ours = burst_change("ours", "small", 1, 1, m_first);
    EXPECT_THROW((void)m_store->publish(ours, majority_loss_policy::refuse), invalid_site);
    EXPECT_EQ(m_store->head()->number(), 1U);
}

// Guards against loading a corrupted chunk as a configuration with fewer objects.
TEST_F(site_store_test, corrupted_chunk_is_rejected) {
    const auto path = m_objects.list("config/chunks/").front();
    m_objects.put(path, "[]", m_objects.get(path)->version, "damage");
    EXPECT_THROW((void)m_store->load(m_store->head().value()), malformed_site);
}

} // namespace
} // namespace oriole::site
