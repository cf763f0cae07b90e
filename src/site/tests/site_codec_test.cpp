#include "site/site_codec.h"
#include "site/site_difference.h"
#include "site/site_merge.h"
#include "site/site_records.h"
#include "site/tests/example_files.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace oriole::site {
namespace {

site_objects example(const std::string& name) {
    return make_yaml_site_reader()->read(example_files(name)).site.objects();
}

class site_codec_test : public testing::Test {
protected:
    /// A random subset of the example's objects, some of them with changed numbers.
    static site_objects any_site() {
        static const auto records = to_records(example("stillwasser"));
        object_records chosen;
        for (const auto& [id, record] : records) {
            const int choice = *rc::gen::inRange(0, 4);
            if (choice == 0) {
                continue;
            }
            auto fields = record.fields();
            for (auto& [name, value] : fields) {
                if (choice == 1 && std::holds_alternative<double>(value)) {
                    const int scaled = *rc::gen::inRange(1, 1000);
                    value = name == "connections" ? scaled : scaled / 8.0;
                }
            }
            chosen.emplace(id, object_record(id, fields));
        }
        return to_site_objects(chosen);
    }

    template <class Call>
    static void expect_only_malformed(Call call) {
        try {
            call();
        } catch (const malformed_site&) {
            return; // any other exception makes the test fail
        }
    }
};

// Guards against objects that change when they are encoded and decoded again.
RC_GTEST_FIXTURE_PROP(site_codec_test, encoded_site_decodes_to_same_objects, ()) {
    const auto site = any_site();
    RC_ASSERT(decode_site(encode_site(site)) == site);
    for (const auto& [id, record] : to_records(site)) {
        RC_ASSERT(decode_object(encode_object(record)) == record);
    }
    RC_ASSERT(differences(site, site).empty());
}

// Guards against a crash on corrupted data, and against accepting non-canonical text, for which
// another instance would compute a different digest.
RC_GTEST_FIXTURE_PROP(site_codec_test, corrupted_text_is_rejected_or_reencodes_to_itself, ()) {
    static const auto record = to_records(example("stillwasser")).rbegin()->second;
    std::string text = encode_object(record);
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 6);
    text.replace(at, length, *rc::gen::arbitrary<std::string>());
    expect_only_malformed([&] { RC_ASSERT(encode_object(decode_object(text)) == text); });
    const auto random = *rc::gen::arbitrary<std::string>();
    expect_only_malformed([&] { (void)decode_object(random); });
    expect_only_malformed([&] { (void)decode_head(random); });
    expect_only_malformed([&] { (void)decode_chunk(0, random); });
    (void)make_yaml_site_reader()->read({{"random.yaml", random}, {"damaged.yaml", text}});
}

// Guards against a merge that loses one operator's change or depends on the order of the changes.
RC_GTEST_FIXTURE_PROP(site_codec_test, merged_disjoint_edits_equal_both_in_either_order, ()) {
    const auto base = any_site();
    const auto other = any_site();
    auto theirs = to_records(base);
    auto ours = theirs;
    auto both = theirs;
    for (const auto& difference : differences(base, other)) {
        const auto target = to_records(other);
        auto& side = *rc::gen::arbitrary<bool>() ? theirs : ours;
        for (auto* records : {&side, &both}) {
            records->erase(difference.id);
            if (target.contains(difference.id)) {
                records->emplace(difference.id, target.at(difference.id));
            }
        }
    }
    const auto left = merge_sites(base, to_site_objects(theirs), to_site_objects(ours));
    const auto right = merge_sites(base, to_site_objects(ours), to_site_objects(theirs));
    RC_ASSERT(left.conflicts.empty());
    RC_ASSERT(left.merged == to_site_objects(both));
    RC_ASSERT(left == right);
}

// Guards against an edit that silently replaces another operator's edit or deletion.
TEST_F(site_codec_test, object_changed_by_both_is_reported_as_conflict) {
    const auto base = example("stillwasser");
    const object_id id{object_kind::rate, "small"};
    const auto with = [&](double burst) {
        return site_objects::builder(base)
            .add(contracts::rate(rate_name("small"), 1, burst))
            .build();
    };
    auto without = to_records(base);
    without.erase(id);
    EXPECT_EQ(merge_sites(base, with(2), with(3)).conflicts, std::vector{id});
    EXPECT_EQ(merge_sites(base, to_site_objects(without), with(3)).conflicts, std::vector{id});
    EXPECT_TRUE(merge_sites(base, with(2), with(2)).conflicts.empty());
    EXPECT_EQ(merge_sites(base, base, to_site_objects(without)).merged, to_site_objects(without));
    const auto found = differences(base, with(2));
    ASSERT_EQ(found.size(), 1U);
    const field_difference burst{"burst", "100", "2"};
    EXPECT_EQ(found.front().fields.front(), burst);
}

// Guards against changing a hash function: instances of two program versions would then assign
// objects to different buckets.
TEST_F(site_codec_test, bucket_of_a_known_object_stays_the_same) {
    EXPECT_EQ(bucket_of({object_kind::service, "track-lookup"}), 8U);
    EXPECT_EQ(digest_of(std::string_view("abc")),
              "bddd813c634239723171ef3fee98579b94964e3bb1cb3e427262c8c068d52319");
}

} // namespace
} // namespace oriole::site
