#include "scheduling/read_balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>

namespace oriole::scheduling {
namespace {

using namespace std::chrono_literals;

/// Ranks alike at every instance: by suitability, zone and role, then by name.
class fixed_ranking final : public server_choice {
public:
    [[nodiscard]] std::vector<std::size_t> order(const std::vector<read_candidate>& candidates,
                                                 clock::duration /*latency_target*/) override {
        std::vector<std::size_t> result(candidates.size());
        std::iota(result.begin(), result.end(), std::size_t{0});
        std::stable_sort(result.begin(), result.end(), [&](std::size_t left, std::size_t right) {
            const auto rank = [&](std::size_t i) {
                const auto& candidate = candidates[i];
                const int penalty = (candidate.in_own_zone ? 0 : 1) + (candidate.primary ? 1 : 0);
                return std::pair(candidate.suitability, penalty);
            };
            return rank(left) < rank(right);
        });
        return result;
    }
};

enum class choice_kind { weighted, ranked };

/// Three gateways that read from three servers of six slots, in steps of 1 ms. A gateway learns of
/// an answer `answer_age` after the server gave it.
class even_load_test : public testing::Test {
protected:
    even_load_test() {
        for (int zone = 0; zone < gateways; ++zone) {
            m_servers[zone].zone = zone;
        }
    }

    static constexpr int slots = 6;
    static constexpr int gateways = 3;
    static constexpr int connections = 40; ///< of one gateway to one server
    static constexpr clock::duration target = 400ms;
    static constexpr int work_ms = 30;

    struct pending_read {
        int gateway = 0;
        clock::time_point sent{};
        int remaining_ms = 0;
        int due_in_ms = 0; ///< until the gateway learns of the answer
        bool fails = false;
    };

    struct simulated_server {
        int zone = 0;
        int slowdown = 1;
        double failing_share = 0;
        std::deque<pending_read> queue;
        std::vector<pending_read> running;
        std::vector<pending_read> answers;
        int received = 0;
        double queued_ms = 0;
    };

    struct totals {
        int reads = 0;
        int in_time = 0;
        int failed = 0;
        double worst_share = 0;    ///< of the reads, at the server with most
        double longest_queue = 0;  ///< mean queue length at the server with the longest
        std::vector<int> received; ///< reads by server

        [[nodiscard]] double share_in_time() const { return double(in_time) / reads; }

        [[nodiscard]] double share_failed() const { return double(failed) / reads; }
    };

    totals play(choice_kind kind, std::vector<double> reads_per_ms) {
        std::vector<read_balancer> balancers;
        for (std::uint64_t seed = 1; seed <= gateways; ++seed) {
            balancers.push_back(make_balancer(kind, seed));
        }
        const auto initial = m_servers;
        m_totals = {};
        for (int ms = 0; ms < play_ms; ++ms) {
            m_now += 1ms;
            for (int gateway = 0; gateway < gateways; ++gateway) {
                for (m_due[gateway] += reads_per_ms[gateway]; m_due[gateway] >= 1;
                     --m_due[gateway]) {
                    send(gateway, balancers[gateway]);
                }
            }
            work(balancers);
        }
        for (const auto& server : m_servers) {
            m_totals.worst_share =
                std::max(m_totals.worst_share, double(server.received) / m_totals.reads);
            m_totals.longest_queue = std::max(m_totals.longest_queue, server.queued_ms / play_ms);
            m_totals.received.push_back(server.received);
        }
        m_servers = initial;
        return m_totals;
    }

    static constexpr int play_ms = 8000;
    /// A share of the worst of three servers that leaves the others a fair part.
    static constexpr double most_uneven_share = 0.4;
    std::vector<simulated_server> m_servers = std::vector<simulated_server>(gateways);
    int m_answer_age_ms = 5;
    bool m_failures_are_known = true; ///< false is the planted fault

    clock::time_point m_now{1h};

private:
    static read_balancer make_balancer(choice_kind kind, std::uint64_t seed) {
        auto random = make_random_source(seed);
        return kind == choice_kind::weighted
                   ? read_balancer(std::move(random))
                   : read_balancer(std::move(random), std::make_unique<fixed_ranking>());
    }

    reader reader_for(std::size_t index, int gateway) const {
        const auto& at = m_servers[index];
        const auto own = [gateway](const pending_read& read) { return read.gateway == gateway; };
        reader known;
        known.server = server_name("s" + std::to_string(index));
        known.in_own_zone = at.zone == gateway;
        known.slots = slots;
        known.running = static_cast<int>(std::count_if(at.queue.begin(), at.queue.end(), own) +
                                         std::count_if(at.running.begin(), at.running.end(), own) +
                                         std::count_if(at.answers.begin(), at.answers.end(), own));
        known.connection_available = known.running < connections;
        return known;
    }

    void send(int gateway, read_balancer& balancer) {
        std::vector<reader> readers;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            readers.push_back(reader_for(i, gateway));
        }
        const auto chosen = balancer.choose(readers, {"db", target}, gateways, m_now);
        auto& at = m_servers[static_cast<std::size_t>(chosen->str().back() - '0')];
        const bool fails = static_cast<double>(m_random->next() % 1000) < 1000 * at.failing_share;
        // Between half and one and a half of the mean.
        const int ms = work_ms / 2 + static_cast<int>(m_random->next() % work_ms);
        at.queue.push_back({gateway, m_now, ms * at.slowdown, m_answer_age_ms, fails});
        ++at.received;
        ++m_totals.reads;
    }

    void work(std::vector<read_balancer>& balancers) {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            auto& at = m_servers[i];
            at.queued_ms += static_cast<double>(at.queue.size());
            while (at.running.size() < slots && !at.queue.empty()) {
                at.running.push_back(at.queue.front());
                at.queue.pop_front();
            }
            for (auto& read : at.running) {
                --read.remaining_ms;
                if (read.remaining_ms == 0) {
                    at.answers.push_back(read);
                }
            }
            std::erase_if(at.running,
                          [](const pending_read& read) { return read.remaining_ms == 0; });
            std::vector<pending_read> arrived;
            for (auto& read : at.answers) {
                if (--read.due_in_ms <= 0) {
                    arrived.push_back(read);
                }
            }
            std::erase_if(at.answers, [](const pending_read& read) { return read.due_in_ms <= 0; });
            for (const auto& read : arrived) {
                answer(read, i, balancers[static_cast<std::size_t>(read.gateway)]);
            }
        }
    }

    void answer(const pending_read& read, std::size_t index, read_balancer& balancer) {
        const auto elapsed = m_now - read.sent;
        m_totals.failed += read.fails ? 1 : 0;
        m_totals.in_time += !read.fails && elapsed <= target ? 1 : 0;
        const bool known = read.fails && m_failures_are_known;
        const auto result = known ? attempt_result::failed : attempt_result::served;
        balancer.record({"db", result, elapsed, reader_for(index, read.gateway)}, gateways, m_now);
    }

    std::unique_ptr<random_source> m_random = make_random_source(11);
    std::vector<double> m_due = std::vector<double>(gateways);
    totals m_totals;
};

/// Six slots serve 0.2 reads per ms.
const std::vector<double> even_demand{0.13, 0.13, 0.13};

// Guards against gateways that all choose the same of several equal servers, whatever the age of
// what they know. The ranking is the planted fault.
TEST_F(even_load_test, equal_servers_of_another_zone_share_the_reads_evenly) {
    for (auto& server : m_servers) {
        server.zone = gateways;
    }
    for (const int age_ms : {1, 20, 100}) {
        m_answer_age_ms = age_ms;
        const auto weighted = play(choice_kind::weighted, even_demand);
        const auto ranked = play(choice_kind::ranked, even_demand);
        EXPECT_LT(weighted.worst_share, most_uneven_share) << "at age " << age_ms;
        EXPECT_GT(ranked.worst_share, most_uneven_share) << "at age " << age_ms;
        EXPECT_GT(weighted.share_in_time(), 0.98) << "at age " << age_ms;
    }
}

// Guards against a zone whose server is overrun while those of other zones idle.
TEST_F(even_load_test, burst_in_one_zone_uses_the_servers_of_the_others) {
    const std::vector<double> burst{0.32, 0.04, 0.04};
    const auto weighted = play(choice_kind::weighted, burst);
    const auto ranked = play(choice_kind::ranked, burst);
    EXPECT_LT(weighted.longest_queue, slots);
    EXPECT_GT(ranked.longest_queue, slots);
}

// Guards against callers who wait for a server that has become slow.
TEST_F(even_load_test, slow_server_loses_its_reads_to_others) {
    m_servers[0].slowdown = 8;
    const std::vector<double> demand{0.08, 0.08, 0.08};
    const auto weighted = play(choice_kind::weighted, demand);
    const auto ranked = play(choice_kind::ranked, demand);
    EXPECT_GT(weighted.share_in_time(), 0.95);
    EXPECT_LT(ranked.share_in_time(), 0.95);
}

// Guards against callers whose reads fail at a server that answers and fails half of its work, and
// against a server that is avoided for good.
TEST_F(even_load_test, server_that_fails_half_of_its_reads_gets_few) {
    m_servers[0].failing_share = 0.5;
    const auto weighted = play(choice_kind::weighted, even_demand);
    m_failures_are_known = false;
    const auto unjudged = play(choice_kind::weighted, even_demand);
    EXPECT_LT(weighted.share_failed(), 0.03);
    EXPECT_GT(unjudged.share_failed(), 0.03);
    EXPECT_GT(weighted.received[0], 10);
}

// Guards against opening connections, each of which takes a slot, beside others that are idle.
TEST_F(even_load_test, server_with_an_idle_connection_is_preferred_outside_the_zone) {
    read_balancer balancer(make_random_source(5));
    balancer.record_open(60ms, m_now);
    std::vector<reader> readers(2);
    readers[0] = {.server = server_name("a"), .in_own_zone = false, .slots = slots};
    readers[1] = {.server = server_name("b"), .in_own_zone = false, .slots = slots};
    readers[1].connected = true;
    int at_connected = 0;
    for (int i = 0; i < 100; ++i) {
        const auto chosen = balancer.choose(readers, {"db", target}, gateways, m_now);
        at_connected += chosen == readers[1].server ? 1 : 0;
    }
    EXPECT_GT(at_connected, 90);
}

// Guards against reads that leave their zone, where bytes are dear, although nobody waits.
TEST_F(even_load_test, light_load_stays_in_its_zone) {
    const auto weighted = play(choice_kind::weighted, {0.05, 0, 0});
    EXPECT_EQ(weighted.received[0], weighted.reads);
}

} // namespace
} // namespace oriole::scheduling
