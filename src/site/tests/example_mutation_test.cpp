#include "site/site_checker.h"
#include "site/site_records.h"
#include "site/tests/example_files.h"

#include <gtest/gtest.h>

#include <set>
#include <sstream>

namespace oriole::site {
namespace {

using lines = std::vector<std::string>;

lines split(const std::string& text) {
    lines result;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        result.push_back(line);
    }
    return result;
}

std::string join(const lines& from) {
    std::string text;
    for (const auto& line : from) {
        text += line + "\n";
    }
    return text;
}

class example_mutation_test : public testing::TestWithParam<std::string> {
protected:
    void SetUp() override {
        for (std::size_t file = 0; file < m_sources.size(); ++file) {
            auto other_sources = m_sources;
            other_sources.erase(other_sources.begin() + static_cast<std::ptrdiff_t>(file));
            m_other_files.push_back(m_reader->read(other_sources).site);
        }
    }

    /// Checks the example with the content of one file replaced by `text`. The other files are
    /// parsed only once, so that thousands of mutations run fast enough under sanitizers.
    [[nodiscard]] findings check(std::size_t file, const std::string& text) const {
        auto [site, found] = m_reader->read({{m_sources[file].file, text}});
        site_objects::builder objects(m_other_files[file].objects());
        for (const auto& [id, record] : to_records(site.objects())) {
            add_record(objects, record);
        }
        auto places = m_other_files[file].places();
        places.insert(site.places().begin(), site.places().end());
        const auto checked =
            m_checker->check({objects.build(), std::move(places)}, majority_loss_policy::refuse);
        found.insert(found.end(), checked.begin(), checked.end());
        return found;
    }

    /// Replaces line `index` of file `file` by `mutated` (or deletes the line if it is empty)
    /// and checks the example.
    [[nodiscard]] findings check_with(std::size_t file, std::size_t index,
                                      const std::string& replacement) const {
        lines content = split(m_sources[file].text);
        if (replacement.empty()) {
            content.erase(content.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            content[index] = replacement;
        }
        return check(file, join(content));
    }

    /// Whether an error is reported within the YAML document that contains line `index`.
    [[nodiscard]] bool is_reported(const findings& found, std::size_t file,
                                   std::size_t index) const {
        const lines content = split(m_sources[file].text);
        std::size_t first = index;
        while (first > 0 && content[first] != "---") {
            --first;
        }
        std::size_t last = index + 1;
        while (last < content.size() && content[last] != "---") {
            ++last;
        }
        return std::any_of(found.begin(), found.end(), [&](const finding& f) {
            return f.level == severity::error && f.place.file == m_sources[file].file &&
                   f.place.line > first && f.place.line <= last + 1;
        });
    }

    void expect_places(const findings& found) const {
        for (const auto& entry : found) {
            EXPECT_GE(entry.place.line, 1U) << to_string(entry);
            EXPECT_GE(entry.place.column, 1U) << to_string(entry);
            EXPECT_FALSE(entry.place.file.empty());
        }
    }

    /// Calls `visit(file, line index, line)` for each line with a field.
    template <class Visit>
    void for_each_field(Visit visit) const {
        for (std::size_t file = 0; file < m_sources.size(); ++file) {
            const lines content = split(m_sources[file].text);
            for (std::size_t index = 0; index < content.size(); ++index) {
                if (content[index] != "---" && !content[index].starts_with("#")) {
                    visit(file, index, content[index]);
                }
            }
        }
    }

    std::unique_ptr<site_reader> m_reader = make_yaml_site_reader();
    std::unique_ptr<site_checker> m_checker = make_site_checker();
    std::vector<source_text> m_sources = example_files(GetParam());
    std::vector<located_site> m_other_files; ///< for each file, the objects of all other files
};

// Guards against shipping examples that have findings.
TEST_P(example_mutation_test, unchanged_example_is_clean) {
    const auto [site, found] = m_reader->read(m_sources);
    EXPECT_TRUE(found.empty());
    EXPECT_TRUE(m_checker->check(site, majority_loss_policy::refuse).empty());
    EXPECT_GE(site.objects().accounts().size(), 8U);
}

// Guards against a missing line that is not reported. Fields that have a default value or are not
// required may be left out, including the services of an access key, to which no object refers.
TEST_P(example_mutation_test, deleted_line_is_reported_unless_optional) {
    const std::set<std::string> optional{"state",      "weight",      "repeatable",
                                         "max_age",    "open_to_all", "deadline",
                                         "when_stale", "stale_after", "services"};
    for_each_field([&](std::size_t file, std::size_t index, const std::string& line) {
        const auto found = check_with(file, index, "");
        expect_places(found);
        if (!optional.contains(line.substr(0, line.find(':')))) {
            EXPECT_TRUE(is_reported(found, file, index)) << m_sources[file].file << ": " << line;
        }
    });
}

// Guards against accepting an invalid value.
TEST_P(example_mutation_test, invalid_value_is_reported_at_its_line) {
    for_each_field([&](std::size_t file, std::size_t index, const std::string& line) {
        for (const std::string invalid_value :
             {"\"%junk ?\"", "[[]]", "{a: b}", "", "\"", "-1e999"}) {
            const auto found =
                check_with(file, index, line.substr(0, line.find(':') + 2) + invalid_value);
            expect_places(found);
            EXPECT_TRUE(is_reported(found, file, index))
                << m_sources[file].file << ": " << line << " := " << invalid_value;
        }
    });
}

// Guards against accepting a reference to an unknown object. The reference is a valid name, so
// parsing it reports no error.
TEST_P(example_mutation_test, unknown_name_is_reported_at_its_line) {
    for_each_field([&](std::size_t file, std::size_t index, const std::string& line) {
        const std::string field = line.substr(0, line.find(':'));
        if (field == "name") {
            return; // a new name is valid; references to the old name are covered by other tests
        }
        const auto found = check_with(file, index, field + ": zz-unknown");
        EXPECT_TRUE(is_reported(found, file, index)) << m_sources[file].file << ": " << line;
    });
}

// Guards against ignoring a misspelled field, so that its default value would apply.
TEST_P(example_mutation_test, renamed_field_is_reported_at_its_line) {
    for_each_field([&](std::size_t file, std::size_t index, const std::string& line) {
        const auto found = check_with(file, index, "x" + line);
        expect_places(found);
        EXPECT_TRUE(is_reported(found, file, index)) << m_sources[file].file << ": " << line;
    });
}

INSTANTIATE_TEST_SUITE_P(examples, example_mutation_test,
                         testing::Values("stillwasser", "little-sprout"), [](const auto& example) {
                             std::string name = example.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

} // namespace
} // namespace oriole::site
